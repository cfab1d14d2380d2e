package protocol

import (
	"fmt"
	"strings"

	"dunestand/internal/units"
)

// JobStage is the state of a job as its user sees it.
type JobStage string

// The stages of a job.
const (
	StagePending   JobStage = "pending"
	StageRunning   JobStage = "running"
	StageDone      JobStage = "done"
	StageCancelled JobStage = "aborted"
)

// IsTerminal reports whether a job in this stage stays there.
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

// ParsePriority reads the name of a priority.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// JobKind says how the tasks of a job belong together.
type JobKind uint8

// The kinds. The tasks of a job array are independent. Those of a gang start only when all fit
// at once. Those of a service are replicas that run until the job is cancelled, on different
// machines and zones where possible.
const (
	Array JobKind = iota
	Gang
	Service
)

var jobKinds = map[string]JobKind{"sweep": Array, "gang": Gang, "service": Service}

// JobKinds is the number of kinds.
const JobKinds = 3

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Bounds on the texts of a submission, so that every job fits a record: bytes of a text, and
// names in a list.
const (
	maxText  = 128
	maxTypes = 32
)

// JobSpec is what a user submitted, checked.
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
	CheckpointInterval units.Micros // 0: the tasks write no checkpoints
	CheckpointDuration units.Micros // what a task that is stopped needs to write one
	Deadline           units.Micros // from the submission; 0: none
}

const maxJobDigits = 18

// ValidJobID reports whether a text has the form of a job's id.
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

// SubmissionID reads the job's id from a submission of which nothing else need be right. It
// reports whether there is one.
func SubmissionID(body []byte) (string, bool) {
	var w struct {
		UID string `cbor:"uid"`
	}
	if Decode(body, &w) != nil || !ValidJobID(w.UID) {
		return "", false
	}
	return w.UID, true
}

// JobState is what a user is told about a job.
type JobState struct {
	ID      string   `cbor:"uid"`
	Stage   JobStage `cbor:"stage"`
	Done    int      `cbor:"done"`
	Running int      `cbor:"running"`
}

// ErrorResponse is the body of a response that refuses a request.
type ErrorResponse struct {
	Message string `cbor:"error"`
	// PlanVersion is the version of the admission plan by which the job has to wait.
	PlanVersion uint64 `cbor:"plan,omitempty"`
}
