package protocol

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"dunestand/internal/units"
)

// Paths of the users' and workers' interface.
const (
	PathSubmit = "/submissions"
	PathPoll   = "/submissions/:id"
	PathCancel = "/submissions/:id/cancel"
	PathHealth = "/healthz"
	PathReport = "/agent/beat"
)

// Stage is a job's state as its user sees it.
type Stage string

// The stages of a job.
const (
	StagePending   Stage = "pending"
	StageRunning   Stage = "running"
	StageDone      Stage = "done"
	StageCancelled Stage = "aborted"
)

// Final tells whether a job in this stage stays there.
func (s Stage) Final() bool { return s == StageDone || s == StageCancelled }

// Priority orders jobs; a larger one goes first.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

var priorityNames = [...]string{"low", "normal", "high", "prod"}

// Priorities is the number of priorities.
const Priorities = len(priorityNames)

func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// ParsePriority reads a priority's name.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// Shape is how a job's tasks belong together.
type Shape uint8

// The shapes. Array tasks are independent. A gang's tasks start only when all
// fit at once; a service's tasks are replicas, kept apart where possible.
const (
	Array Shape = iota
	Gang
	Service
)

var shapes = map[string]Shape{"sweep": Array, "gang": Gang, "service": Service}

// Shapes is the number of shapes.
const Shapes = 3

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Bounds on a user's texts, so that every job fits a record.
const (
	maxText  = 128
	maxTypes = 32
)

// JobSpec is a submission, checked.
type JobSpec struct {
	ID         string
	Class      string
	Team       string
	Shape      Shape
	Priority   Priority
	Tasks      int
	Need       units.Resources
	Types      []string // allowed machine types; nil: any
	Zone       string   // the only allowed zone; "": any
	OneZone    bool
	Spread     bool
	Spot       bool
	Image      string
	ImageSize  units.Amount
	Estimate   units.Micros
	Checkpoint units.Micros
	Save       units.Micros
	Deadline   units.Micros // from the submission; 0: none
}

type submission struct {
	UID     *string  `cbor:"uid"`
	Queue   *string  `cbor:"queue"`
	Crew    *string  `cbor:"crew"`
	Shape   *string  `cbor:"shape"`
	Urgency *string  `cbor:"urgency"`
	Bolts   *int64   `cbor:"bolts"`
	VCPUs   *float64 `cbor:"vcpus"`
	Cards   *float64 `cbor:"cards"`
	Memory  *float64 `cbor:"memory_gb"`
	Pattern *string  `cbor:"pattern"`
	ImageGB *float64 `cbor:"image_gb"`
	Looms   []string `cbor:"looms"`
	Yard    *string  `cbor:"yard"`
	Tog     *bool    `cbor:"together"`
	Apart   *bool    `cbor:"apart"`
	Spot    *bool    `cbor:"borrowed"`
	Expect  *float64 `cbor:"expect_s"`
	Mark    *float64 `cbor:"mark_s"`
	Stow    *float64 `cbor:"stow_s"`
	Due     *float64 `cbor:"due_s"`
}

const maxJobDigits = 18

// ValidJobID tells whether a text has the form of a job id.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "j-")
	return ok && len(digits) <= maxJobDigits && onlyDigits(digits)
}

func onlyDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// SubmissionID gives the job's id in a submission, of which nothing else need be
// right.
func SubmissionID(body []byte) (string, bool) {
	var w struct {
		UID string `cbor:"uid"`
	}
	if Decode(body, &w) != nil || !ValidJobID(w.UID) {
		return "", false
	}
	return w.UID, true
}

// ParseSubmission reads and checks a user's submission. Its error is the one
// line that the user gets with status 400.
func ParseSubmission(body []byte) (*JobSpec, error) {
	var w submission
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	texts := []struct {
		field string
		v     *string
	}{
		{"uid", w.UID},
		{"queue", w.Queue},
		{"crew", w.Crew},
		{"shape", w.Shape},
		{"urgency", w.Urgency},
		{"pattern", w.Pattern},
	}
	for _, t := range texts {
		if t.v == nil {
			return nil, fmt.Errorf("%s: missing", t.field)
		}
		if len(*t.v) > maxText {
			return nil, fmt.Errorf("%s: over %d bytes", t.field, maxText)
		}
	}
	if !ValidJobID(*w.UID) {
		return nil, errors.New("uid: not of the form j-000412")
	}
	shape, ok := shapes[*w.Shape]
	if !ok {
		return nil, errors.New("shape: unknown")
	}
	priority, ok := ParsePriority(*w.Urgency)
	if !ok {
		return nil, errors.New("urgency: unknown")
	}
	if w.Bolts == nil || *w.Bolts < 1 || *w.Bolts > MaxTasks {
		return nil, fmt.Errorf("bolts: missing or not within 1 to %d", MaxTasks)
	}
	numbers := []struct {
		field string
		v     *float64
		most  float64
	}{
		{"vcpus", w.VCPUs, 1e6},
		{"cards", w.Cards, 1e6},
		{"memory_gb", w.Memory, 1e8},
		{"image_gb", w.ImageGB, 1e6},
		{"expect_s", w.Expect, 1e9},
		{"mark_s", w.Mark, 1e9},
		{"stow_s", w.Stow, 1e9},
	}
	for _, n := range numbers {
		if n.v == nil || math.IsNaN(*n.v) || *n.v < 0 || *n.v > n.most {
			return nil, fmt.Errorf("%s: missing or out of range", n.field)
		}
	}
	for _, b := range []struct {
		field string
		v     *bool
	}{{"together", w.Tog}, {"apart", w.Apart}, {"borrowed", w.Spot}} {
		if b.v == nil {
			return nil, fmt.Errorf("%s: missing", b.field)
		}
	}
	if len(w.Looms) > maxTypes {
		return nil, fmt.Errorf("looms: over %d types", maxTypes)
	}
	for _, l := range w.Looms {
		if l == "" || len(l) > maxText {
			return nil, errors.New("looms: a name is empty or too long")
		}
	}
	if w.Looms != nil && len(w.Looms) == 0 {
		return nil, errors.New("looms: empty; null means any")
	}
	job := &JobSpec{
		ID:       *w.UID,
		Class:    *w.Queue,
		Team:     *w.Crew,
		Shape:    shape,
		Priority: priority,
		Tasks:    int(*w.Bolts),
		Need: units.Resources{
			CPU:    units.AmountOf(*w.VCPUs),
			GPU:    units.AmountOf(*w.Cards),
			Memory: units.AmountOf(*w.Memory),
		},
		Types:      w.Looms,
		OneZone:    *w.Tog,
		Spread:     *w.Apart,
		Spot:       *w.Spot,
		Image:      *w.Pattern,
		ImageSize:  units.AmountOf(*w.ImageGB),
		Estimate:   units.Seconds(*w.Expect),
		Checkpoint: units.Seconds(*w.Mark),
		Save:       units.Seconds(*w.Stow),
	}
	if w.Yard != nil {
		if *w.Yard == "" || len(*w.Yard) > maxText {
			return nil, errors.New("yard: empty or too long")
		}
		job.Zone = *w.Yard
	}
	if w.Due != nil {
		if math.IsNaN(*w.Due) || *w.Due < 0 || *w.Due > 1e9 {
			return nil, errors.New("due_s: out of range")
		}
		job.Deadline = max(units.Seconds(*w.Due), 1)
	}
	if shape == Service {
		job.Estimate, job.Deadline = 0, 0 // it has no end
	}
	return job, nil
}

// JobState is the answer about a job.
type JobState struct {
	UID     string `cbor:"uid"`
	Stage   Stage  `cbor:"stage"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Problem is the body of an answer that refuses something.
type Problem struct {
	Error string `cbor:"error"`
}
