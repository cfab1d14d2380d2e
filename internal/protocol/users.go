package protocol

import (
	"fmt"
	"strings"

	"dunestand/internal/units"
)

// Paths of the users' and workers' interface.
const (
	PathSubmit    = "/submissions"
	PathPoll      = "/submissions/:id"
	PathCancel    = "/submissions/:id/cancel"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
)

// JobStage is a job's state as its user sees it.
type JobStage string

// The stages of a job.
const (
	StagePending   JobStage = "pending"
	StageRunning   JobStage = "running"
	StageDone      JobStage = "done"
	StageCancelled JobStage = "aborted"
)

// IsTerminal tells whether a job in this stage stays there.
func (s JobStage) IsTerminal() bool { return s == StageDone || s == StageCancelled }

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

// Kind is how a job's tasks belong together.
type JobKind uint8

// The shapes. Array tasks are independent. A gang's tasks start only when all
// fit at once; a service's tasks are replicas, kept apart where possible.
const (
	Array JobKind = iota
	Gang
	Service
)

var jobKinds = map[string]JobKind{"sweep": Array, "gang": Gang, "service": Service}

// JobKinds is the number of shapes.
const JobKinds = 3

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Bounds on a user's texts, so that every job fits a record.
const (
	maxText  = 128
	maxTypes = 32
)

// JobSpec is a submission, checked.
type JobSpec struct {
	ID                 string
	Class              string
	Team               string
	Kind               JobKind
	Priority           Priority
	Tasks              int
	Request            units.Resources
	InstanceTypes      []string // allowed machine types; nil: any
	Zone               string   // the only allowed zone; "": any
	ZoneAffinity       bool
	ZoneSpread         bool
	AllowSpot          bool
	Image              string
	ImageSize          units.Amount
	Estimate           units.Micros
	CheckpointInterval units.Micros
	CheckpointDuration units.Micros
	Deadline           units.Micros // from the submission; 0: none
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
	ID      string   `cbor:"uid"`
	Stage   JobStage `cbor:"stage"`
	Done    int      `cbor:"done"`
	Running int      `cbor:"running"`
}

// ErrorResponse is the body of an answer that refuses something.
type ErrorResponse struct {
	Message string `cbor:"error"`
	// PlanVersion is the version of the admission plan by which a job has to wait.
	PlanVersion uint64 `cbor:"plan,omitempty"`
}
