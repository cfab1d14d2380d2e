package fake

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunestand/internal/protocol"
)

// handleResponse executes the response to a heartbeat that was sent in an incarnation, and
// renews the lease from the time of sending. A response of another incarnation or with a
// lower fencing token is dropped.
func (m *Machine) handleResponse(body []byte, incarnation uint64, sent time.Time) {
	var response protocol.HeartbeatResponse
	if protocol.Decode(body, &response) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed || incarnation != m.incarnation || response.FencingToken < m.fencingToken || response.FencingToken == 0 {
		return
	}
	m.observeTokenLocked(response.FencingToken)
	m.leaseStart = sent
	m.executeLocked(response.Commands)
}

// observeTokenLocked raises the highest token seen. It counts as a change, which causes a
// heartbeat, no more than once in half of a lease.
func (m *Machine) observeTokenLocked(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		if time.Since(m.tokenChangedAt) > m.Timing.LeaseDuration/2 {
			m.tokenChangedAt, m.changed = time.Now(), true
		}
	}
}

// serveCommands executes pushed commands and responds with a heartbeat.
func (m *Machine) serveCommands(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var push protocol.DirectCommands
	if protocol.Decode(raw, &push) != nil || push.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	if fault.ResponsesLost || fault.Partitioned {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(fault.CommandDelay)
	for m.hung() {
		time.Sleep(tickInterval)
	}
	m.tick()
	m.mu.Lock()
	status := http.StatusOK
	if m.killed || push.FencingToken < m.fencingToken || push.Incarnation != m.incarnation {
		status = http.StatusConflict
	} else {
		m.observeTokenLocked(push.FencingToken)
		m.executeLocked(push.Commands)
	}
	changed := m.changed
	body := m.encodeHeartbeatLocked()
	m.changed = changed // the next heartbeat is due all the same
	m.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (m *Machine) executeLocked(commands []protocol.Command) {
	for _, command := range commands {
		task := m.tasks[command.Task]
		switch command.Verb {
		case protocol.VerbStart:
			m.startTaskLocked(command, task)
		case protocol.VerbStop:
			if task != nil && task.attempt == command.Attempt && task.stage != protocol.TaskExited {
				if task.stage == protocol.TaskRunning {
					m.invariants.TaskEnded(task.job.ID, task.index, m.ID, false)
				}
				task.stage, task.exitCause, task.stageEnd, m.changed = protocol.TaskExited, protocol.CauseStopped, time.Time{}, true
			}
		case protocol.VerbForget:
			if task != nil && task.attempt == command.Attempt && task.stage == protocol.TaskExited {
				delete(m.tasks, command.Task)
			}
		}
	}
}

// startTaskLocked begins to fetch a task's image, or refuses the task. existing is the
// attempt that the machine has already; nil: none.
func (m *Machine) startTaskLocked(command protocol.Command, existing *machineTask) {
	if existing != nil && (existing.attempt == command.Attempt || existing.stage != protocol.TaskExited) {
		return
	}
	id, index := splitTaskName(command.Task)
	job, known := m.invariants.Job(id)
	job.ID = id // also of an unknown one
	used := job.CPUs
	for _, other := range m.tasks {
		if other.stage != protocol.TaskExited {
			used += other.job.CPUs
		}
	}
	m.changed = true
	task := &machineTask{job: job, index: index, attempt: command.Attempt}
	switch {
	case !known || index >= job.Tasks:
		task.stage, task.exitCause = protocol.TaskExited, protocol.CauseNoSuchTask
	case used > m.CPUs:
		task.stage, task.exitCause = protocol.TaskExited, protocol.CauseNoCapacity
	default:
		task.stage, task.stageEnd = protocol.TaskFetching, time.Now().Add(cmp.Or(job.ImageFetch, defaultImageFetch))
		task.runTime = job.RunTime * time.Duration(index+1) / time.Duration(job.Tasks)
	}
	m.tasks[command.Task] = task
}

// splitTaskName returns the parts of a task's name as protocol.TaskName writes it.
func splitTaskName(name string) (job string, index int) {
	job, number, _ := strings.Cut(name, "/")
	index, _ = strconv.Atoi(number)
	return job, index
}
