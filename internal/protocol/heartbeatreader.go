package protocol

import (
	"bytes"
	"math"
	"sync"

	"dunestand/internal/units"
)

// wireHeartbeat is a heartbeat on the wire. What must not be missing is a pointer.
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

// wireTaskStatus is a task's status on the wire.
type wireTaskStatus struct {
	Bolt  string `cbor:"bolt"`
	Try   uint64 `cbor:"try"`
	Stage string `cbor:"stage"`
	Cause string `cbor:"cause"`
	Kept  bool   `cbor:"kept"`
}

// HeartbeatReader reads and checks heartbeats. Most heartbeats of a machine list the same
// tasks as the one before, and these are not parsed again. It may be used concurrently.
type HeartbeatReader struct {
	mu        sync.Mutex
	lastTasks map[string]taskList // by machine
}

// taskList is a heartbeat's list of tasks, as it came and as it was read.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// maxCachedTaskLists bounds the lists that are kept; beyond it they are collected anew.
const maxCachedTaskLists = 8192

// NewHeartbeatReader returns a reader that has read nothing yet.
func NewHeartbeatReader() *HeartbeatReader {
	return &HeartbeatReader{lastTasks: map[string]taskList{}}
}

// ParseHeartbeat reads and checks a single heartbeat. Its error is a *FieldError, or says that
// the body is no message at all.
func ParseHeartbeat(body []byte) (*Heartbeat, error) { return NewHeartbeatReader().Parse(body) }

// Parse reads and checks a heartbeat, as ParseHeartbeat does. The list of tasks is shared with
// later heartbeats of the machine and must not be changed.
func (r *HeartbeatReader) Parse(body []byte) (*Heartbeat, error) {
	var wire wireHeartbeat
	if err := Decode(body, &wire); err != nil {
		return nil, err
	}
	if err := wire.check(); err != nil {
		return nil, err
	}
	heartbeat := wire.heartbeat()
	var err error
	if heartbeat.Tasks, err = r.tasks(heartbeat.Machine, wire.Bolts); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// check reports what is missing or out of range, the list of tasks aside.
func (w *wireHeartbeat) check() error {
	const missingOrTooLong = "missing or too long"
	switch {
	case w.Dune == nil || *w.Dune == "" || len(*w.Dune) > maxText:
		return fieldError("dune", missingOrTooLong)
	case w.Loom == nil || len(*w.Loom) > maxText:
		return fieldError("loom", missingOrTooLong)
	case w.Yard == nil || len(*w.Yard) > maxText:
		return fieldError("yard", missingOrTooLong)
	case w.Shift == nil:
		return fieldError("shift", "missing")
	case w.Tally == nil:
		return fieldError("tally", "missing")
	case len(w.Endpoint) > maxText:
		return fieldError("endpoint", "too long")
	case w.Recall != nil && math.IsNaN(*w.Recall):
		return fieldError("recall_s", "not a number")
	}
	return nil
}

// heartbeat returns the checked message without its tasks.
func (w *wireHeartbeat) heartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Machine:      *w.Dune,
		Endpoint:     w.Endpoint,
		InstanceType: *w.Loom,
		Zone:         *w.Yard,
		Spot:         w.Borrowed,
		Incarnation:  *w.Shift,
		Sequence:     *w.Tally,
		FencingToken: w.Baton,
	}
	if w.Recall != nil {
		heartbeat.TerminationIn = units.Seconds(max(*w.Recall, 0))
		heartbeat.TerminationNoticed = true
	}
	return heartbeat
}

// tasks returns the tasks of a machine's heartbeat, which must not be changed.
func (r *HeartbeatReader) tasks(machine string, raw Raw) ([]TaskStatus, error) {
	r.mu.Lock()
	last, known := r.lastTasks[machine]
	r.mu.Unlock()
	if known && bytes.Equal(last.raw, raw) {
		return last.tasks, nil
	}
	tasks, err := parseTasks(raw)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lastTasks) >= maxCachedTaskLists && !known {
		clear(r.lastTasks)
	}
	r.lastTasks[machine] = taskList{raw, tasks}
	return tasks, nil
}

func parseTasks(raw Raw) ([]TaskStatus, error) {
	var list []wireTaskStatus
	if len(raw) > 0 {
		if err := decoder.Unmarshal(raw, &list); err != nil {
			return nil, &FieldError{Field: "bolts", Problem: "not valid", Err: err}
		}
	}
	tasks := make([]TaskStatus, 0, len(list))
	for _, wire := range list {
		job, index, err := parseTaskName(wire.Bolt)
		if err != nil {
			return nil, err
		}
		stage, known := taskStages[wire.Stage]
		if !known {
			return nil, fieldError("bolts", "unknown stage")
		}
		tasks = append(tasks, TaskStatus{
			Job:          job,
			Index:        index,
			Attempt:      wire.Try,
			Stage:        stage,
			Cause:        ExitCause(wire.Cause),
			Checkpointed: wire.Kept,
		})
	}
	return tasks, nil
}
