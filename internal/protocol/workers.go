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
	TaskSaving
	TaskExited
)

var taskStages = map[string]TaskStage{
	"fetching":  TaskFetching,
	"gathering": TaskFetching,
	"running":   TaskRunning,
	"flushing":  TaskSaving,
	"ended":     TaskExited,
}

// Cause is why a task has ended.
type Cause string

// The causes of an end.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "full"
	CauseBusy    Cause = "in_use"
	CauseUnknown Cause = "no_such"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Job     string
	Index   int
	Attempt uint64
	Stage   TaskStage
	Cause   Cause
	Saved   bool
}

// Report is a worker's report, checked. The report with the larger
// (Session, Seq) is the newer one.
type Report struct {
	Machine  string
	Endpoint string
	Type     string
	Zone     string
	Spot     bool
	Session  uint64
	Seq      uint64
	Term     uint64 // the highest term the worker has seen
	Notice   units.Micros
	Noticed  bool // the cloud takes the machine away after Notice
	Tasks    []TaskReport
}

type wireReport struct {
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

type wireTask struct {
	Bolt  string `cbor:"bolt"`
	Try   uint64 `cbor:"try"`
	Stage string `cbor:"stage"`
	Cause string `cbor:"cause"`
	Kept  bool   `cbor:"kept"`
}

// ReportReader reads and checks workers' reports. Most reports of a machine list the
// same tasks as the one before, and these are not read again.
type ReportReader struct {
	mu   sync.Mutex
	last map[string]taskList // by machine
}

// taskList is a report's list of tasks, as it came and as it was read.
type taskList struct {
	raw   Raw
	tasks []TaskReport
}

// maxLists bounds the lists that are kept; beyond it they are gathered anew.
const maxLists = 8192

// NewReportReader makes a reader that has read nothing.
func NewReportReader() *ReportReader { return &ReportReader{last: map[string]taskList{}} }

// tasks gives a machine's tasks, which must not be changed.
func (p *ReportReader) tasks(machine string, raw Raw) ([]TaskReport, error) {
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
	if len(p.last) >= maxLists && !known {
		clear(p.last)
	}
	p.last[machine] = taskList{raw, tasks}
	return tasks, nil
}

func parseTasks(raw Raw) ([]TaskReport, error) {
	var bolts []wireTask
	if len(raw) > 0 {
		if err := decoder.Unmarshal(raw, &bolts); err != nil {
			return nil, fmt.Errorf("bolts: not valid: %w", err)
		}
	}
	tasks := make([]TaskReport, 0, len(bolts))
	for _, b := range bolts {
		job, index, err := splitTask(b.Bolt)
		if err != nil {
			return nil, err
		}
		stage, ok := taskStages[b.Stage]
		if !ok {
			return nil, errors.New("bolts: unknown stage")
		}
		tasks = append(tasks, TaskReport{Job: job, Index: index, Attempt: b.Try, Stage: stage,
			Cause: Cause(b.Cause), Saved: b.Kept})
	}
	return tasks, nil
}

// Parse reads and checks a worker's report.
func (p *ReportReader) Parse(body []byte) (*Report, error) {
	var w wireReport
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
	r := &Report{Machine: *w.Dune, Endpoint: w.Endpoint, Type: *w.Loom, Zone: *w.Yard, Spot: w.Borrowed,
		Session: *w.Shift, Seq: *w.Tally, Term: w.Baton}
	if w.Recall != nil {
		if math.IsNaN(*w.Recall) {
			return nil, errors.New("recall_s: not a number")
		}
		r.Notice, r.Noticed = units.Seconds(max(*w.Recall, 0)), true
	}
	var err error
	if r.Tasks, err = p.tasks(r.Machine, w.Bolts); err != nil {
		return nil, err
	}
	return r, nil
}

// ParseReport reads and checks a single report.
func ParseReport(body []byte) (*Report, error) { return NewReportReader().Parse(body) }

// TaskName gives a task's name: TaskName("j-000412", 3) is j-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

func splitTask(s string) (string, int, error) {
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
	Start  Verb = "launch"
	Stop   Verb = "stop"
	Forget Verb = "clear"
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

// ReportAnswer is the answer to a report that was accepted.
type ReportAnswer struct {
	Term     uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// PathCommands is a worker's path for direct commands.
const PathCommands = "/orders"

// MaxBody is the largest body of an answer, in bytes.
const MaxBody = 64 << 10

// DirectCommands are sent straight to a worker, which answers with a report.
type DirectCommands struct {
	Term     uint64    `cbor:"baton"`
	Session  uint64    `cbor:"shift"`
	Commands []Command `cbor:"orders"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	Leader string `cbor:"foreman,omitempty"`
}
