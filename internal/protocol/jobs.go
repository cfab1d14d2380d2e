package protocol

import (
	"fmt"
	"strings"

	"dunestand/internal/units"
)

// JobStage is the stage of a job that is reported to its user.
type JobStage string

// The stages of a job.
const (
	StagePending   JobStage = "pending"
	StageRunning   JobStage = "running"
	StageDone      JobStage = "done"
	StageCancelled JobStage = "aborted"
)

// IsTerminal reports whether the stage is a terminal state, which a job never leaves.
func (s JobStage) IsTerminal() bool { return s == StageDone || s == StageCancelled }

// Priority is the priority of a job. Jobs with a larger value are scheduled first.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

var priorityNames = [...]string{"low", "normal", "high", "prod"}

// NumPriorities is the number of priorities.
const NumPriorities = len(priorityNames)

// String implements fmt.Stringer. It returns the name on the wire.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// ParsePriority parses the name of a priority, and reports whether the name is known.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// JobKind determines how the tasks of a job depend on each other.
type JobKind uint8

// The kinds of jobs. Tasks of a job array are independent. Tasks of a gang start only when all of
// them fit at the same time. Tasks of a service are replicas that run until the job is cancelled,
// on different machines and in different zones where possible.
const (
	Array JobKind = iota
	Gang
	Service
)

// jobKinds maps the names on the wire to kinds.
var jobKinds = map[string]JobKind{"sweep": Array, "gang": Gang, "service": Service}

// NumJobKinds is the number of kinds.
const NumJobKinds = 3

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Limits on the texts of a submission, so that every job fits into a stored record.
const (
	maxTextBytes     = 128 // bytes of a text
	maxInstanceTypes = 32  // names in the list of instance types
)

// JobSpec is a validated submission.
type JobSpec struct {
	ID       string
	Class    string
	Team     string
	Kind     JobKind
	Priority Priority
	Tasks    int
	Request  units.Resources // of each task

	// Placement constraints.
	InstanceTypes []string // allowed types; nil: any
	Zone          string   // the only allowed zone; "": any
	ZoneAffinity  bool     // all tasks in one zone
	ZoneSpread    bool     // at most half of the tasks, rounded up, in a zone
	AllowSpot     bool

	Image              string
	ImageSize          units.Amount // GB
	Estimate           units.Micros // expected run time of a task
	CheckpointInterval units.Micros // 0: tasks write no checkpoints
	CheckpointDuration units.Micros // time that a task needs to write a checkpoint when it is stopped
	Deadline           units.Micros // relative to the submission; 0: none
}

// maxJobDigits bounds the digits of a job ID.
const maxJobDigits = 18

// ValidJobID reports whether s has the format of a job ID, such as j-000412.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "j-")
	return ok && len(digits) <= maxJobDigits && onlyDigits(digits)
}

// onlyDigits reports whether s consists of one or more ASCII digits.
func onlyDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// SubmissionID returns the job ID of a submission that may otherwise be invalid, and reports whether
// it has a valid one.
func SubmissionID(body []byte) (string, bool) {
	var w struct {
		UID string `cbor:"uid"`
	}
	if Decode(body, &w) != nil || !ValidJobID(w.UID) {
		return "", false
	}
	return w.UID, true
}

// JobState is the state of a job that is reported to its user. Done and Running count tasks.
type JobState struct {
	ID      string   `cbor:"uid"`
	Stage   JobStage `cbor:"stage"`
	Done    int      `cbor:"done"`
	Running int      `cbor:"running"`
}

// ErrorResponse is the body of a response to a request that was refused.
type ErrorResponse struct {
	Message string `cbor:"error"`
	// PlanVersion is the version of the admission plan because of which the job must wait, or 0.
	PlanVersion uint64 `cbor:"plan,omitempty"`
}
