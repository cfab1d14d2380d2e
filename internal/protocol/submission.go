package protocol

import (
	"fmt"
	"math"

	"dunestand/internal/units"
)

// submission is a user's submission on the wire. Required fields are pointers, so that a missing
// one can be detected.
type submission struct {
	ID                        *string  `cbor:"uid"`
	Class                     *string  `cbor:"queue"`
	Team                      *string  `cbor:"crew"`
	Kind                      *string  `cbor:"shape"`
	Priority                  *string  `cbor:"urgency"`
	Tasks                     *int64   `cbor:"bolts"`
	CPUs                      *float64 `cbor:"vcpus"`
	GPUs                      *float64 `cbor:"cards"`
	MemoryGB                  *float64 `cbor:"memory_gb"`
	Image                     *string  `cbor:"pattern"`
	ImageGB                   *float64 `cbor:"image_gb"`
	InstanceTypes             []string `cbor:"looms"`
	Zone                      *string  `cbor:"yard"`
	ZoneAffinity              *bool    `cbor:"together"`
	ZoneSpread                *bool    `cbor:"apart"`
	AllowSpot                 *bool    `cbor:"borrowed"`
	EstimateSeconds           *float64 `cbor:"expect_s"`
	CheckpointIntervalSeconds *float64 `cbor:"mark_s"`
	CheckpointDurationSeconds *float64 `cbor:"stow_s"`
	DeadlineSeconds           *float64 `cbor:"due_s"`
}

// Upper limits of the numbers in a submission.
const (
	maxAmount   = 1e6
	maxMemoryGB = 1e8
	maxSeconds  = 1e9
)

// ParseSubmission parses and validates a user's submission. It returns a *FieldError for an invalid
// field, or an error of Decode. The text of either is a single line, which the user receives with
// status 400.
func ParseSubmission(body []byte) (*JobSpec, error) {
	var w submission
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	checks := []func() error{w.checkTexts, w.checkNames, w.checkNumbers, w.checkFlags, w.checkPlacement}
	for _, check := range checks {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return w.spec(), nil
}

func (w *submission) checkTexts() error {
	texts := []struct {
		field string
		value *string
	}{
		{"uid", w.ID},
		{"queue", w.Class},
		{"crew", w.Team},
		{"shape", w.Kind},
		{"urgency", w.Priority},
		{"pattern", w.Image},
	}
	for _, t := range texts {
		if t.value == nil {
			return fieldError(t.field, "missing")
		}
		if len(*t.value) > maxTextBytes {
			return fieldError(t.field, fmt.Sprintf("over %d bytes", maxTextBytes))
		}
	}
	return nil
}

// checkNames validates the fields that have a format or a fixed set of values.
func (w *submission) checkNames() error {
	if !ValidJobID(*w.ID) {
		return fieldError("uid", "not of the form j-000412")
	}
	if _, known := jobKinds[*w.Kind]; !known {
		return fieldError("shape", "unknown")
	}
	if _, known := ParsePriority(*w.Priority); !known {
		return fieldError("urgency", "unknown")
	}
	return nil
}

func (w *submission) checkNumbers() error {
	if w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		return fieldError("bolts", fmt.Sprintf("missing or not within 1 to %d", MaxTasks))
	}
	numbers := []struct {
		field string
		value *float64
		max   float64
	}{
		{"vcpus", w.CPUs, maxAmount},
		{"cards", w.GPUs, maxAmount},
		{"memory_gb", w.MemoryGB, maxMemoryGB},
		{"image_gb", w.ImageGB, maxAmount},
		{"expect_s", w.EstimateSeconds, maxSeconds},
		{"mark_s", w.CheckpointIntervalSeconds, maxSeconds},
		{"stow_s", w.CheckpointDurationSeconds, maxSeconds},
	}
	for _, n := range numbers {
		if n.value == nil || !within(*n.value, n.max) {
			return fieldError(n.field, "missing or out of range")
		}
	}
	if w.DeadlineSeconds != nil && !within(*w.DeadlineSeconds, maxSeconds) {
		return fieldError("due_s", "out of range")
	}
	return nil
}

// within reports whether a value is between 0 and maximum. It is false for NaN.
func within(value, maximum float64) bool {
	return !math.IsNaN(value) && value >= 0 && value <= maximum
}

func (w *submission) checkFlags() error {
	flags := []struct {
		field string
		value *bool
	}{
		{"together", w.ZoneAffinity},
		{"apart", w.ZoneSpread},
		{"borrowed", w.AllowSpot},
	}
	for _, f := range flags {
		if f.value == nil {
			return fieldError(f.field, "missing")
		}
	}
	return nil
}

// checkPlacement validates the instance types and the zone that a job allows.
func (w *submission) checkPlacement() error {
	if len(w.InstanceTypes) > maxInstanceTypes {
		return fieldError("looms", fmt.Sprintf("over %d types", maxInstanceTypes))
	}
	for _, name := range w.InstanceTypes {
		if name == "" || len(name) > maxTextBytes {
			return fieldError("looms", "a name is empty or too long")
		}
	}
	if w.InstanceTypes != nil && len(w.InstanceTypes) == 0 {
		return fieldError("looms", "empty; null means any")
	}
	if w.Zone != nil && (*w.Zone == "" || len(*w.Zone) > maxTextBytes) {
		return fieldError("yard", "empty or too long")
	}
	return nil
}

// spec returns the JobSpec of a validated submission.
func (w *submission) spec() *JobSpec {
	priority, _ := ParsePriority(*w.Priority)
	job := &JobSpec{
		ID:       *w.ID,
		Class:    *w.Class,
		Team:     *w.Team,
		Kind:     jobKinds[*w.Kind],
		Priority: priority,
		Tasks:    int(*w.Tasks),
		Request: units.Resources{
			CPU:    units.AmountOf(*w.CPUs),
			GPU:    units.AmountOf(*w.GPUs),
			Memory: units.AmountOf(*w.MemoryGB),
		},
		InstanceTypes:      w.InstanceTypes,
		ZoneAffinity:       *w.ZoneAffinity,
		ZoneSpread:         *w.ZoneSpread,
		AllowSpot:          *w.AllowSpot,
		Image:              *w.Image,
		ImageSize:          units.AmountOf(*w.ImageGB),
		Estimate:           units.Seconds(*w.EstimateSeconds),
		CheckpointInterval: units.Seconds(*w.CheckpointIntervalSeconds),
		CheckpointDuration: units.Seconds(*w.CheckpointDurationSeconds),
	}
	if w.Zone != nil {
		job.Zone = *w.Zone
	}
	if w.DeadlineSeconds != nil {
		job.Deadline = max(units.Seconds(*w.DeadlineSeconds), 1) // 0 means no deadline
	}
	if job.Kind == Service {
		job.Estimate, job.Deadline = 0, 0 // replicas of a service run until the job is cancelled
	}
	return job
}
