package standin

import (
	"cmp"
	"dunestand/internal/protocol"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// take carries out the answer to a report.
func (m *Machine) handleResponse(body []byte, incarnation uint64, sent time.Time) {
	var response protocol.ReportAnswer
	if protocol.Decode(body, &response) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed || incarnation != m.incarnation || response.Term < m.fencingToken || response.Term == 0 {
		return
	}
	m.observeToken(response.Term)
	m.leaseStart = sent
	m.execute(response.Commands)
}

func (m *Machine) observeToken(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		if time.Since(m.tokenChangedAt) > m.timing.LeaseDuration/2 {
			m.tokenChangedAt, m.changed = time.Now(), true
		}
	}
}

// serve takes direct commands.
func (m *Machine) serveCommands(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var push protocol.DirectCommands
	if protocol.Decode(raw, &push) != nil || push.Term == 0 {
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
	if m.killed || push.Term < m.fencingToken || push.Session != m.incarnation {
		status = http.StatusConflict
	} else {
		m.observeToken(push.Term)
		m.execute(push.Commands)
	}
	changed := m.changed
	body := m.encodeHeartbeat()
	m.changed = changed
	m.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (m *Machine) execute(commands []protocol.Command) {
	for _, command := range commands {
		task := m.tasks[command.Task]
		switch command.Verb {
		case protocol.Start:
			m.startTask(command, task)
		case protocol.Stop:
			if task != nil && task.attempt == command.Attempt && task.stage != "ended" {
				if task.stage != "fetching" {
					m.invariants.TaskEnded(task.job.ID, task.index, m.ID, false)
				}
				task.stage, task.exitCause, task.stageEnd, m.changed = "ended", protocol.CauseStopped, time.Time{}, true
			}
		case protocol.Forget:
			if task != nil && task.attempt == command.Attempt && task.stage == "ended" {
				delete(m.tasks, command.Task)
			}
		}
	}
}

func (m *Machine) startTask(command protocol.Command, existing *machineTask) {
	if existing != nil && (existing.attempt == command.Attempt || existing.stage != "ended") {
		return
	}
	id, num, _ := strings.Cut(command.Task, "/")
	index, _ := strconv.Atoi(num)
	job, known := m.invariants.Job(id)
	used := job.CPUs
	for _, other := range m.tasks {
		if other.stage != "ended" {
			used += other.job.CPUs
		}
	}
	m.changed = true
	task := &machineTask{job: job, index: index, attempt: command.Attempt}
	switch {
	case !known || index >= job.Tasks:
		task.stage, task.exitCause = "ended", protocol.CauseUnknown
	case used > m.CPUs:
		task.stage, task.exitCause = "ended", protocol.CauseNoRoom
	default:
		task.stage, task.stageEnd = "fetching", time.Now().Add(cmp.Or(job.ImageFetch, defaultImageFetch))
		task.runTime = job.RunTime * time.Duration(index+1) / time.Duration(job.Tasks)
	}
	m.tasks[command.Task] = task
}
