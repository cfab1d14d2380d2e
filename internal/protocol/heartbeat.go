package protocol

import (
	"strconv"
	"strings"

	"dunestand/internal/units"
)

// TaskStage is the stage of a task's attempt on a machine.
type TaskStage uint8

// The stages of a task on a machine.
const (
	TaskFetching      TaskStage = iota + 1 // fetching its image
	TaskRunning                            // running
	TaskCheckpointing                      // stopping, and writing a checkpoint
	TaskExited                             // exited, for the reason in TaskStatus.Cause
)

// taskStages maps the names on the wire to stages. A task that waits for the other tasks of its
// gang ("gathering") counts as fetching its image.
var taskStages = map[string]TaskStage{
	"fetching":  TaskFetching,
	"gathering": TaskFetching,
	"running":   TaskRunning,
	"flushing":  TaskCheckpointing,
	"ended":     TaskExited,
}

// ExitCause is the reason why a task has exited.
type ExitCause string

// The causes of an exit.
const (
	CauseDone       ExitCause = "done"    // completed
	CauseStopped    ExitCause = "stopped" // stopped by a command
	CauseError      ExitCause = "error"   // failed
	CauseNoCapacity ExitCause = "full"    // the machine lacks the capacity
	CauseInUse      ExitCause = "in_use"  // another attempt of the task is on the machine
	CauseNoSuchTask ExitCause = "no_such" // the job has no such task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Job          string
	Index        int
	Attempt      uint64
	Stage        TaskStage
	Cause        ExitCause // of an exited task
	Checkpointed bool      // a checkpoint was written when the task was stopped
}

// Heartbeat is a validated heartbeat of a worker, with the status of its machine and of all tasks
// on it. Of two heartbeats of a machine, the newer one has the larger (Incarnation, Sequence).
type Heartbeat struct {
	Machine      string
	Endpoint     string // address at which the worker accepts DirectCommands; "": unknown
	InstanceType string
	Zone         string
	Spot         bool
	// Incarnation increases whenever the worker starts over without any tasks: after a restart,
	// or after its lease expired.
	Incarnation  uint64
	Sequence     uint64 // sequence number; increases with each heartbeat of an incarnation
	FencingToken uint64 // the highest token that the worker has received
	// TerminationIn is the time until the cloud terminates the machine. It is valid only if
	// TerminationNoticed.
	TerminationIn      units.Micros
	TerminationNoticed bool
	Tasks              []TaskStatus
}

// TaskName returns the name of a task on the wire: TaskName("j-000412", 3) is "j-000412/3".
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// parseTaskName parses a name in the format of TaskName. It rejects indices with leading zeros,
// so that a task has only one name.
func parseTaskName(name string) (job string, index int, err error) {
	job, digits, found := strings.Cut(name, "/")
	index, err = strconv.Atoi(digits)
	canonical := onlyDigits(digits) && (digits[0] != '0' || len(digits) == 1)
	if !found || err != nil || !canonical || index >= MaxTasks || !ValidJobID(job) {
		return "", 0, fieldError("bolts", strconv.Quote(truncate(name))+" is not a task")
	}
	return job, index, nil
}

// maxQuotedBytes bounds the part of a message that an error quotes.
const maxQuotedBytes = 40

func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}
