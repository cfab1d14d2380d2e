package protocol

import (
	"fmt"
	"math"

	"dunestand/internal/units"
)

// submission is a user's submission on the wire. What must not be missing is a pointer.
type submission struct {
	UID      *string  `cbor:"uid"`
	Queue    *string  `cbor:"queue"`
	Crew     *string  `cbor:"crew"`
	Shape    *string  `cbor:"shape"`
	Urgency  *string  `cbor:"urgency"`
	Bolts    *int64   `cbor:"bolts"`
	VCPUs    *float64 `cbor:"vcpus"`
	Cards    *float64 `cbor:"cards"`
	Memory   *float64 `cbor:"memory_gb"`
	Pattern  *string  `cbor:"pattern"`
	ImageGB  *float64 `cbor:"image_gb"`
	Looms    []string `cbor:"looms"`
	Yard     *string  `cbor:"yard"`
	Together *bool    `cbor:"together"`
	Apart    *bool    `cbor:"apart"`
	Borrowed *bool    `cbor:"borrowed"`
	Expect   *float64 `cbor:"expect_s"`
	Mark     *float64 `cbor:"mark_s"`
	Stow     *float64 `cbor:"stow_s"`
	Due      *float64 `cbor:"due_s"`
}

// Bounds on a submission's numbers.
const (
	maxAmount   = 1e6
	maxMemoryGB = 1e8 // GB
	maxSeconds  = 1e9
)

// ParseSubmission reads and checks a user's submission. Its error, mostly a *FieldError, is the
// one line that the user gets with status 400.
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
		{"uid", w.UID},
		{"queue", w.Queue},
		{"crew", w.Crew},
		{"shape", w.Shape},
		{"urgency", w.Urgency},
		{"pattern", w.Pattern},
	}
	for _, t := range texts {
		if t.value == nil {
			return fieldError(t.field, "missing")
		}
		if len(*t.value) > maxText {
			return fieldError(t.field, fmt.Sprintf("over %d bytes", maxText))
		}
	}
	return nil
}

// checkNames checks the texts that have a form or stand for something.
func (w *submission) checkNames() error {
	if !ValidJobID(*w.UID) {
		return fieldError("uid", "not of the form j-000412")
	}
	if _, known := jobKinds[*w.Shape]; !known {
		return fieldError("shape", "unknown")
	}
	if _, known := ParsePriority(*w.Urgency); !known {
		return fieldError("urgency", "unknown")
	}
	return nil
}

func (w *submission) checkNumbers() error {
	if w.Bolts == nil || *w.Bolts < 1 || *w.Bolts > MaxTasks {
		return fieldError("bolts", fmt.Sprintf("missing or not within 1 to %d", MaxTasks))
	}
	numbers := []struct {
		field string
		value *float64
		max   float64
	}{
		{"vcpus", w.VCPUs, maxAmount},
		{"cards", w.Cards, maxAmount},
		{"memory_gb", w.Memory, maxMemoryGB},
		{"image_gb", w.ImageGB, maxAmount},
		{"expect_s", w.Expect, maxSeconds},
		{"mark_s", w.Mark, maxSeconds},
		{"stow_s", w.Stow, maxSeconds},
	}
	for _, n := range numbers {
		if n.value == nil || !within(*n.value, n.max) {
			return fieldError(n.field, "missing or out of range")
		}
	}
	if w.Due != nil && !within(*w.Due, maxSeconds) {
		return fieldError("due_s", "out of range")
	}
	return nil
}

// within reports whether a value is a number, not negative and not over a maximum.
func within(value, maximum float64) bool {
	return !math.IsNaN(value) && value >= 0 && value <= maximum
}

func (w *submission) checkFlags() error {
	flags := []struct {
		field string
		value *bool
	}{
		{"together", w.Together},
		{"apart", w.Apart},
		{"borrowed", w.Borrowed},
	}
	for _, f := range flags {
		if f.value == nil {
			return fieldError(f.field, "missing")
		}
	}
	return nil
}

// checkPlacement checks the machine types and the zone that a job allows.
func (w *submission) checkPlacement() error {
	if len(w.Looms) > maxTypes {
		return fieldError("looms", fmt.Sprintf("over %d types", maxTypes))
	}
	for _, name := range w.Looms {
		if name == "" || len(name) > maxText {
			return fieldError("looms", "a name is empty or too long")
		}
	}
	if w.Looms != nil && len(w.Looms) == 0 {
		return fieldError("looms", "empty; null means any")
	}
	if w.Yard != nil && (*w.Yard == "" || len(*w.Yard) > maxText) {
		return fieldError("yard", "empty or too long")
	}
	return nil
}

// spec returns the job that a checked submission describes.
func (w *submission) spec() *JobSpec {
	priority, _ := ParsePriority(*w.Urgency)
	job := &JobSpec{
		ID:       *w.UID,
		Class:    *w.Queue,
		Team:     *w.Crew,
		Kind:     jobKinds[*w.Shape],
		Priority: priority,
		Tasks:    int(*w.Bolts),
		Request: units.Resources{
			CPU:    units.AmountOf(*w.VCPUs),
			GPU:    units.AmountOf(*w.Cards),
			Memory: units.AmountOf(*w.Memory),
		},
		InstanceTypes:      w.Looms,
		ZoneAffinity:       *w.Together,
		ZoneSpread:         *w.Apart,
		AllowSpot:          *w.Borrowed,
		Image:              *w.Pattern,
		ImageSize:          units.AmountOf(*w.ImageGB),
		Estimate:           units.Seconds(*w.Expect),
		CheckpointInterval: units.Seconds(*w.Mark),
		CheckpointDuration: units.Seconds(*w.Stow),
	}
	if w.Yard != nil {
		job.Zone = *w.Yard
	}
	if w.Due != nil {
		job.Deadline = max(units.Seconds(*w.Due), 1) // 0 stands for none
	}
	if job.Kind == Service {
		job.Estimate, job.Deadline = 0, 0 // it has no end
	}
	return job
}
