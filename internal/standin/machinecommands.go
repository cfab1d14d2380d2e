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
func (m *Machine) take(body []byte, session uint64, sent time.Time) {
	var a protocol.HeartbeatResponse
	if protocol.Decode(body, &a) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || session != m.session || a.FencingToken < m.term || a.FencingToken == 0 {
		return
	}
	m.sees(a.FencingToken)
	m.leaseFrom = sent
	m.execute(a.Commands)
}

func (m *Machine) sees(term uint64) {
	if term > m.term {
		m.term = term
		if time.Since(m.termAt) > m.pace.Lease/2 {
			m.termAt, m.changed = time.Now(), true
		}
	}
}

// serve takes direct commands.
func (m *Machine) serve(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var c protocol.DirectCommands
	if protocol.Decode(raw, &c) != nil || c.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	trouble := m.trouble
	m.mu.Unlock()
	if trouble.AnswersLost || trouble.Cut {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(trouble.Slow)
	for m.isHung() {
		time.Sleep(machineStep)
	}
	m.step()
	m.mu.Lock()
	status := http.StatusOK
	if m.gone || c.FencingToken < m.term || c.Incarnation != m.session {
		status = http.StatusConflict
	} else {
		m.sees(c.FencingToken)
		m.execute(c.Commands)
	}
	changed := m.changed
	body := m.report()
	m.changed = changed
	m.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (m *Machine) execute(commands []protocol.Command) {
	for _, c := range commands {
		t := m.tasks[c.Task]
		switch c.Verb {
		case protocol.VerbStart:
			m.launch(c, t)
		case protocol.VerbStop:
			if t != nil && t.attempt == c.Attempt && t.stage != "ended" {
				if t.stage != "fetching" {
					m.rules.Ended(t.job.ID, t.index, m.ID, false)
				}
				t.stage, t.cause, t.until, m.changed = "ended", protocol.CauseStopped, time.Time{}, true
			}
		case protocol.VerbForget:
			if t != nil && t.attempt == c.Attempt && t.stage == "ended" {
				delete(m.tasks, c.Task)
			}
		}
	}
}

func (m *Machine) launch(c protocol.Command, t *machineTask) {
	if t != nil && (t.attempt == c.Attempt || t.stage != "ended") {
		return
	}
	id, num, _ := strings.Cut(c.Task, "/")
	index, _ := strconv.Atoi(num)
	job, known := m.rules.Job(id)
	used := job.CPUs
	for _, o := range m.tasks {
		if o.stage != "ended" {
			used += o.job.CPUs
		}
	}
	m.changed = true
	n := &machineTask{job: job, index: index, attempt: c.Attempt}
	switch {
	case !known || index >= job.Tasks:
		n.stage, n.cause = "ended", protocol.CauseNoSuchTask
	case used > m.CPUs:
		n.stage, n.cause = "ended", protocol.CauseNoCapacity
	default:
		n.stage, n.until = "fetching", time.Now().Add(cmp.Or(job.Fetch, machineFetch))
		n.left = job.Runs * time.Duration(index+1) / time.Duration(job.Tasks)
	}
	m.tasks[c.Task] = n
}
