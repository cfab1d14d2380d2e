package protocol

import (
	"fmt"
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
	// Plan is the version of the admission plan by which a job has to wait.
	Plan uint64 `cbor:"plan,omitempty"`
}
