package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"

	"dunestand/internal/units"
)

// TaskStage is where a task is on its machine.
type TaskStage uint8

// The stages of a task on a machine.
const (
	TaskFetching TaskStage = iota + 1
	TaskRunning
	TaskCheckpointing
	TaskExited
)

var taskStages = map[string]TaskStage{
	"fetching":  TaskFetching,
	"gathering": TaskFetching,
	"running":   TaskRunning,
	"flushing":  TaskCheckpointing,
	"ended":     TaskExited,
}

// ExitCause is why a task has ended.
type ExitCause string

// The causes of an end.
const (
	CauseDone       ExitCause = "done"
	CauseStopped    ExitCause = "stopped"
	CauseError      ExitCause = "error"
	CauseNoCapacity ExitCause = "full"
	CauseInUse      ExitCause = "in_use"
	CauseNoSuchTask ExitCause = "no_such"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Job          string
	Index        int
	Attempt      uint64
	Stage        TaskStage
	Cause        ExitCause
	Checkpointed bool
}

// Heartbeat is a worker's report, checked. The report with the larger
// (Session, Seq) is the newer one.
type Heartbeat struct {
	Machine            string
	Endpoint           string
	InstanceType       string
	Zone               string
	Spot               bool
	Incarnation        uint64
	Sequence           uint64
	FencingToken       uint64 // the highest term the worker has seen
	TerminationIn      units.Micros
	TerminationNoticed bool // the cloud takes the machine away after Notice
	Tasks              []TaskStatus
}

type wireHeartbeat struct {
	Dune     *string  `cbor:"dune"`
	Endpoint string   `cbor:"endpoint"`
	Loom     *string  `cbor:"loom"`
	Yard     *string  `cbor:"yard"`
	Borrowed bool     `cbor:"borrowed"`
	Shift    *uint64  `cbor:"shift"`
	Tally    *uint64  `cbor:"tally"`
	Baton    uint64   `cbor:"baton"`
	Recall   *float64 `cbor:"recall_s"`
	Bolts    Raw      `cbor:"bolts"`
}

type wireTaskStatus struct {
	Bolt  string `cbor:"bolt"`
	Try   uint64 `cbor:"try"`
	Stage string `cbor:"stage"`
	Cause string `cbor:"cause"`
	Kept  bool   `cbor:"kept"`
}

// HeartbeatReader reads and checks workers' reports. Most reports of a machine list the
// same tasks as the one before, and these are not read again.
type HeartbeatReader struct {
	mu   sync.Mutex
	last map[string]taskList // by machine
}

// taskList is a report's list of tasks, as it came and as it was read.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// maxCachedTaskLists bounds the lists that are kept; beyond it they are gathered anew.
const maxCachedTaskLists = 8192

// NewHeartbeatReader makes a reader that has read nothing.
func NewHeartbeatReader() *HeartbeatReader { return &HeartbeatReader{last: map[string]taskList{}} }

// tasks gives a machine's tasks, which must not be changed.
func (p *HeartbeatReader) tasks(machine string, raw Raw) ([]TaskStatus, error) {
	p.mu.Lock()
	last, known := p.last[machine]
	p.mu.Unlock()
	if known && bytes.Equal(last.raw, raw) {
		return last.tasks, nil
	}
	tasks, err := parseTasks(raw)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) >= maxCachedTaskLists && !known {
		clear(p.last)
	}
	p.last[machine] = taskList{raw, tasks}
	return tasks, nil
}

func parseTasks(raw Raw) ([]TaskStatus, error) {
	var bolts []wireTaskStatus
	if len(raw) > 0 {
		if err := decoder.Unmarshal(raw, &bolts); err != nil {
			return nil, fmt.Errorf("bolts: not valid: %w", err)
		}
	}
	tasks := make([]TaskStatus, 0, len(bolts))
	for _, b := range bolts {
		job, index, err := parseTaskName(b.Bolt)
		if err != nil {
			return nil, err
		}
		stage, ok := taskStages[b.Stage]
		if !ok {
			return nil, errors.New("bolts: unknown stage")
		}
		tasks = append(tasks, TaskStatus{Job: job, Index: index, Attempt: b.Try, Stage: stage,
			Cause: ExitCause(b.Cause), Checkpointed: b.Kept})
	}
	return tasks, nil
}

// Parse reads and checks a worker's report.
func (p *HeartbeatReader) Parse(body []byte) (*Heartbeat, error) {
	var w wireHeartbeat
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	switch {
	case w.Dune == nil || *w.Dune == "" || len(*w.Dune) > maxText:
		return nil, errors.New("dune: missing or too long")
	case w.Loom == nil || len(*w.Loom) > maxText:
		return nil, errors.New("loom: missing or too long")
	case w.Yard == nil || len(*w.Yard) > maxText:
		return nil, errors.New("yard: missing or too long")
	case w.Shift == nil:
		return nil, errors.New("shift: missing")
	case w.Tally == nil:
		return nil, errors.New("tally: missing")
	case len(w.Endpoint) > maxText:
		return nil, errors.New("endpoint: too long")
	}
	r := &Heartbeat{Machine: *w.Dune, Endpoint: w.Endpoint, InstanceType: *w.Loom, Zone: *w.Yard, Spot: w.Borrowed,
		Incarnation: *w.Shift, Sequence: *w.Tally, FencingToken: w.Baton}
	if w.Recall != nil {
		if math.IsNaN(*w.Recall) {
			return nil, errors.New("recall_s: not a number")
		}
		r.TerminationIn, r.TerminationNoticed = units.Seconds(max(*w.Recall, 0)), true
	}
	var err error
	if r.Tasks, err = p.tasks(r.Machine, w.Bolts); err != nil {
		return nil, err
	}
	return r, nil
}

// ParseHeartbeat reads and checks a single report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) { return NewHeartbeatReader().Parse(body) }

// TaskName gives a task's name: TaskName("j-000412", 3) is j-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

func parseTaskName(s string) (string, int, error) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	plain := onlyDigits(num) && (num[0] != '0' || len(num) == 1) // as TaskName writes it
	if !ok || err != nil || !plain || n >= MaxTasks || !ValidJobID(job) {
		return "", 0, fmt.Errorf("bolts: %q is not a task", truncate(s))
	}
	return job, n, nil
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// Verb is what a worker is told to do.
type Verb string

// The commands to a worker.
const (
	VerbStart  Verb = "launch"
	VerbStop   Verb = "stop"
	VerbForget Verb = "clear"
)

// Command is one command to a worker.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"bolt"`
	Attempt uint64   `cbor:"try"`
	Grace   *float64 `cbor:"wind_down_s,omitempty"`
}

// MaxCommands keeps an answer to a worker well under the size limit.
const MaxCommands = 400

// HeartbeatResponse is the answer to a report that was accepted.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// PathCommands is a worker's path for direct commands.
const PathCommands = "/orders"

// MaxBody is the largest body of an answer, in bytes.
const MaxBody = 64 << 10

// DirectCommands are sent straight to a worker, which answers with a report.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

// LeaderRedirect names the node that a worker should report to.
type LeaderRedirect struct {
	Leader string `cbor:"foreman,omitempty"`
}
