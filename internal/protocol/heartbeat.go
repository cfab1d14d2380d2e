package protocol

import (
	"strconv"
	"strings"

	"dunestand/internal/units"
)

// TaskStage is how far a task on a machine has got.
type TaskStage uint8

// The stages of a task on a machine.
const (
	TaskFetching      TaskStage = iota + 1 // its image is being fetched
	TaskRunning                            // it runs
	TaskCheckpointing                      // it was told to stop and writes a checkpoint
	TaskExited                             // it has ended; ExitCause says why
)

// taskStages maps the names on the wire. A task that waits for others of its gang counts
// as one that fetches its image.
var taskStages = map[string]TaskStage{
	"fetching":  TaskFetching,
	"gathering": TaskFetching,
	"running":   TaskRunning,
	"flushing":  TaskCheckpointing,
	"ended":     TaskExited,
}

// ExitCause is why a task has ended.
type ExitCause string

// The causes of an exit.
const (
	CauseDone       ExitCause = "done"    // it completed
	CauseStopped    ExitCause = "stopped" // it was told to stop
	CauseError      ExitCause = "error"   // it failed
	CauseNoCapacity ExitCause = "full"    // the machine had no room for it
	CauseInUse      ExitCause = "in_use"  // another attempt of it is on the machine
	CauseNoSuchTask ExitCause = "no_such" // its job has no such task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Job          string
	Index        int
	Attempt      uint64
	Stage        TaskStage
	Cause        ExitCause // of a task that has exited
	Checkpointed bool      // its last checkpoint was written when it was stopped
}

// Heartbeat is a worker's heartbeat with the status of its machine and of all tasks there,
// checked. Of two heartbeats of a machine the one with the larger (Incarnation, Sequence)
// is the newer one.
type Heartbeat struct {
	Machine      string
	Endpoint     string // where the worker takes direct commands; "": not told
	InstanceType string
	Zone         string
	Spot         bool
	// Incarnation rises whenever the worker begins anew, with nothing on the machine: after
	// a restart, or once its lease has expired.
	Incarnation  uint64
	Sequence     uint64 // rises with each heartbeat of an incarnation
	FencingToken uint64 // the highest that the worker has seen
	// TerminationIn is the time until the cloud reclaims the machine, if TerminationNoticed.
	TerminationIn      units.Micros
	TerminationNoticed bool
	Tasks              []TaskStatus
}

// TaskName returns the name of a task: TaskName("j-000412", 3) is "j-000412/3".
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// parseTaskName reads a name as TaskName writes it.
func parseTaskName(name string) (job string, index int, err error) {
	job, digits, found := strings.Cut(name, "/")
	index, err = strconv.Atoi(digits)
	canonical := onlyDigits(digits) && (digits[0] != '0' || len(digits) == 1)
	if !found || err != nil || !canonical || index >= MaxTasks || !ValidJobID(job) {
		return "", 0, fieldError("bolts", strconv.Quote(truncate(name))+" is not a task")
	}
	return job, index, nil
}

// maxQuoted bounds the part of a message that an error quotes, in bytes.
const maxQuoted = 40

func truncate(text string) string {
	if len(text) > maxQuoted {
		return text[:maxQuoted] + "..."
	}
	return text
}
