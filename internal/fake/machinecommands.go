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

// handleResponse executes the commands of the response to a heartbeat and renews the lease from the
// time at which the heartbeat was sent. The response is ignored if the agent incarnation that sent the
// heartbeat has ended, if the machine was restarted since, or if the response has no fencing token or a
// lower one than the highest seen.
func (m *Machine) handleResponse(body []byte, heartbeat sentHeartbeat) {
	var response protocol.HeartbeatResponse
	if protocol.Decode(body, &response) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed || heartbeat.restarts != m.restarts || heartbeat.incarnation != m.incarnation || response.FencingToken < m.fencingToken || response.FencingToken == 0 {
		return
	}
	m.observeTokenLocked(response.FencingToken)
	m.leaseStart = heartbeat.sentAt
	m.executeLocked(response.Commands)
}

// observeTokenLocked raises the highest fencing token seen. A higher token triggers a heartbeat,
// at most once per half a lease.
func (m *Machine) observeTokenLocked(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		if time.Since(m.tokenChangedAt) > m.Timing.LeaseDuration/2 {
			m.tokenChangedAt, m.changed = time.Now(), true
		}
	}
}

// serveCommands executes pushed commands and responds with a heartbeat. It responds with status
// 409 and executes nothing if the commands are for another incarnation or have a lower fencing
// token than the highest seen.
func (m *Machine) serveCommands(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var push protocol.DirectCommands
	if protocol.Decode(raw, &push) != nil || push.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	fault := m.fault
	m.receivedPushes = append(m.receivedPushes, push)
	m.receivedPushes = m.receivedPushes[max(0, len(m.receivedPushes)-maxReceivedPushes):]
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
	if !m.executePushLocked(push) {
		status = http.StatusConflict
	}
	changed := m.changed
	body := m.encodeHeartbeatLocked()
	m.changed = changed // reset by the encoding, but the next heartbeat remains due
	m.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// executePushLocked executes pushed commands and reports whether they are for the current incarnation and
// their fencing token is not lower than the highest seen.
func (m *Machine) executePushLocked(push protocol.DirectCommands) bool {
	if m.killed || push.FencingToken < m.fencingToken || push.Incarnation != m.incarnation {
		return false
	}
	m.observeTokenLocked(push.FencingToken)
	m.executeLocked(push.Commands)
	return true
}

// maxReceivedPushes is the number of pushes of which a machine keeps copies.
const maxReceivedPushes = 100

// DeliverPushCopies delivers the last pushes that the machine received once more, in order, and returns
// the number of those that it executed. A restart of the machine does not end the copies.
func (m *Machine) DeliverPushCopies() (executed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, push := range m.receivedPushes {
		if m.executePushLocked(push) {
			executed++
		}
	}
	return executed
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

// startTaskLocked starts to fetch a task's image, or rejects the task with an exit cause.
// existing is the attempt of the task that the machine already has; nil: none. The command is
// ignored if existing is the same attempt or has not exited.
func (m *Machine) startTaskLocked(command protocol.Command, existing *machineTask) {
	if existing != nil && (existing.attempt == command.Attempt || existing.stage != protocol.TaskExited) {
		return
	}
	id, index := splitTaskName(command.Task)
	job, known := m.invariants.Job(id)
	job.ID = id // Job returns an empty JobInfo if the job is unknown
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
		m.invariants.AttemptStarted(id, index, command.Attempt)
		task.stage, task.stageEnd = protocol.TaskFetching, time.Now().Add(cmp.Or(job.ImageFetch, defaultImageFetch))
		task.runTime = job.RunTime * time.Duration(index+1) / time.Duration(job.Tasks)
	}
	m.tasks[command.Task] = task
}

// splitTaskName splits a name that protocol.TaskName has built into its job ID and task index.
func splitTaskName(name string) (job string, index int) {
	job, number, _ := strings.Cut(name, "/")
	index, _ = strconv.Atoi(number)
	return job, index
}
