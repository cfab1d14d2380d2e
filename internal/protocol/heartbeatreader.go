package protocol

import (
	"bytes"
	"math"
	"sync"

	"dunestand/internal/units"
)

// wireHeartbeat is a heartbeat on the wire. Required fields are pointers, so that a missing one
// can be detected.
type wireHeartbeat struct {
	Machine       *string  `cbor:"dune"`
	Endpoint      string   `cbor:"endpoint"`
	InstanceType  *string  `cbor:"loom"`
	Zone          *string  `cbor:"yard"`
	Spot          bool     `cbor:"borrowed"`
	Incarnation   *uint64  `cbor:"shift"`
	Sequence      *uint64  `cbor:"tally"`
	FencingToken  uint64   `cbor:"baton"`
	TerminationIn *float64 `cbor:"recall_s"`
	Tasks         Raw      `cbor:"bolts"`
}

// wireTaskStatus is a TaskStatus on the wire.
type wireTaskStatus struct {
	Task         string `cbor:"bolt"`
	Attempt      uint64 `cbor:"try"`
	Stage        string `cbor:"stage"`
	Cause        string `cbor:"cause"`
	Checkpointed bool   `cbor:"kept"`
}

// HeartbeatReader parses and validates heartbeats. It caches the last list of tasks of each
// machine, because most heartbeats list the same tasks as the one before. It is safe for
// concurrent use.
type HeartbeatReader struct {
	mu        sync.Mutex
	lastTasks map[string]taskList // by machine ID
}

// taskList is a heartbeat's list of tasks, encoded and parsed.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// maxCachedTaskLists bounds the cache. Before a further machine is added to a full cache, the cache
// is cleared.
const maxCachedTaskLists = 8192

// NewHeartbeatReader returns a reader with an empty cache.
func NewHeartbeatReader() *HeartbeatReader {
	return &HeartbeatReader{lastTasks: map[string]taskList{}}
}

// ParseHeartbeat parses and validates a heartbeat without a cache. It returns a *FieldError for an
// invalid field, or an error of Decode.
func ParseHeartbeat(body []byte) (*Heartbeat, error) { return NewHeartbeatReader().Parse(body) }

// Parse parses and validates a heartbeat. It returns the same errors as ParseHeartbeat. The
// slice Tasks in the result is shared with later heartbeats of the machine and must not be modified.
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
	if heartbeat.Tasks, err = r.tasks(heartbeat.Machine, wire.Tasks); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// check validates all fields except the list of tasks.
func (w *wireHeartbeat) check() error {
	const missingOrTooLong = "missing or too long"
	switch {
	case w.Machine == nil || *w.Machine == "" || len(*w.Machine) > maxTextBytes:
		return fieldError("dune", missingOrTooLong)
	case w.InstanceType == nil || len(*w.InstanceType) > maxTextBytes:
		return fieldError("loom", missingOrTooLong)
	case w.Zone == nil || len(*w.Zone) > maxTextBytes:
		return fieldError("yard", missingOrTooLong)
	case w.Incarnation == nil:
		return fieldError("shift", "missing")
	case w.Sequence == nil:
		return fieldError("tally", "missing")
	case len(w.Endpoint) > maxTextBytes:
		return fieldError("endpoint", "too long")
	case w.TerminationIn != nil && math.IsNaN(*w.TerminationIn):
		return fieldError("recall_s", "not a number")
	}
	return nil
}

// heartbeat converts a validated message, without its tasks.
func (w *wireHeartbeat) heartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Machine:      *w.Machine,
		Endpoint:     w.Endpoint,
		InstanceType: *w.InstanceType,
		Zone:         *w.Zone,
		Spot:         w.Spot,
		Incarnation:  *w.Incarnation,
		Sequence:     *w.Sequence,
		FencingToken: w.FencingToken,
	}
	if w.TerminationIn != nil {
		heartbeat.TerminationIn = units.Seconds(max(*w.TerminationIn, 0))
		heartbeat.TerminationNoticed = true
	}
	return heartbeat
}

// tasks returns the tasks of a machine's heartbeat, from the cache if the encoded list is
// unchanged. The result must not be modified.
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
		job, index, err := parseTaskName(wire.Task)
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
			Attempt:      wire.Attempt,
			Stage:        stage,
			Cause:        ExitCause(wire.Cause),
			Checkpointed: wire.Checkpointed,
		})
	}
	return tasks, nil
}
