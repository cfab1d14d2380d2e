package standin2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// jobInfo is the description of a job that its user uploads for the workers.
type jobInfo struct {
	tasks int
	cpus  float64
	run   time.Duration
}

// task is an attempt of a task on a machine.
type task struct {
	job     string
	index   int
	attempt uint64
	stage   protocol.TaskStage
	cause   protocol.ExitCause
	cpus    float64
	endsAt  time.Time // of the fetch or of the run
	run     time.Duration
}

// worker is a machine with its agent, as the protocol page describes it.
type worker struct {
	w        *world
	id       string
	loom     string
	yard     string
	spot     bool
	cpus     float64
	endpoint string
	created  time.Time
	bootFor  time.Duration
	listener net.Listener
	client   *http.Client
	server   *http.Server
	cancel   context.CancelFunc

	mu         sync.Mutex
	gone       time.Time // zero: exists
	hungUntil  time.Time
	shift      uint64
	tally      uint64
	baton      uint64
	batonAt    time.Time
	leaseStart time.Time
	changed    bool
	images     map[string]bool
	tasks      map[string]*task
	node       int
}

const (
	workerTick   = 20 * time.Millisecond
	reportLimit  = 4 * time.Second
	minReportGap = 500 * time.Millisecond
	fetchTime    = 600 * time.Millisecond
)

func (m *worker) log(format string, args ...any) {
	m.w.rec.log("machine "+m.id+": "+format, args...)
}

// live reports whether the machine exists and is up.
func (m *worker) live() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone.IsZero()
}

// hang suspends the machine for a time.
func (m *worker) hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
	m.w.rec.log("machine %s: hangs for %v", m.id, d)
}

// hungLocked reports whether the machine hangs.
func (m *worker) hungLocked() bool { return time.Now().Before(m.hungUntil) }

// awaitAwake blocks while the machine hangs.
func (m *worker) awaitAwake(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		hung := m.hungLocked()
		m.mu.Unlock()
		if !hung {
			return
		}
		time.Sleep(workerTick)
	}
}

// remove ends the machine with everything on it.
func (m *worker) remove(why string) {
	m.mu.Lock()
	if !m.gone.IsZero() {
		m.mu.Unlock()
		return
	}
	m.gone = time.Now()
	names := m.liveTasksLocked()
	for _, name := range names {
		m.w.taskEnded(m, m.tasks[name], "machine gone")
	}
	m.tasks = map[string]*task{}
	m.mu.Unlock()
	m.log("gone (%s), tasks lost %v", why, names)
	m.cancel()
	_ = m.server.Close()
}

// liveTasksLocked returns the names of the tasks that have not ended.
func (m *worker) liveTasksLocked() []string {
	var names []string
	for name, t := range m.tasks {
		if t.stage != protocol.TaskExited {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (m *worker) liveTasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveTasksLocked()
}

// run boots the machine and runs its agent until ctx ends.
func (m *worker) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(m.bootFor):
	}
	m.mu.Lock()
	m.leaseStart = time.Now()
	m.mu.Unlock()
	m.log("up: %s in %s", m.loom, m.yard)
	go func() { _ = m.server.Serve(m.listener) }()
	go m.reportLoop(ctx)
	for ctx.Err() == nil {
		m.tick()
		time.Sleep(workerTick)
	}
}

// tick advances the lease and the tasks.
func (m *worker) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.gone.IsZero() || m.hungLocked() {
		return
	}
	now := time.Now()
	if now.Sub(m.leaseStart) > m.w.lease {
		for _, name := range m.liveTasksLocked() {
			m.w.taskEnded(m, m.tasks[name], "lease expired")
		}
		m.tasks = map[string]*task{}
		m.shift++
		m.leaseStart, m.changed = now, true
		m.log("lease expired, session %d begins", m.shift)
	}
	for name, t := range m.tasks {
		if t.endsAt.IsZero() || now.Before(t.endsAt) {
			continue
		}
		m.changed = true
		switch t.stage {
		case protocol.TaskFetching:
			t.stage, t.endsAt = protocol.TaskRunning, now.Add(t.run)
			m.images["img"] = true
			m.log("task %s starts", name)
			m.w.taskStarted(m, t)
		case protocol.TaskRunning:
			t.stage, t.cause, t.endsAt = protocol.TaskExited, protocol.CauseDone, time.Time{}
			m.log("task %s is done", name)
			m.w.taskEnded(m, t, "done")
		}
	}
}

// encodeLocked returns the next report.
func (m *worker) encodeLocked() []byte {
	m.tally++
	h := protocol.Heartbeat{
		Machine: m.id, Endpoint: m.endpoint, InstanceType: m.loom, Zone: m.yard, Spot: m.spot,
		Incarnation: m.shift, Sequence: m.tally, FencingToken: m.baton,
	}
	var names []string
	for name := range m.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := m.tasks[name]
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Job: t.job, Index: t.index, Attempt: t.attempt, Stage: t.stage, Cause: t.cause})
	}
	return protocol.EncodeHeartbeat(&h)
}

// reportLoop reports to one node at a time.
func (m *worker) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.awaitAwake(ctx)
		m.mu.Lock()
		if !m.gone.IsZero() {
			m.mu.Unlock()
			return
		}
		m.changed = false
		body, shift, sent, node := m.encodeLocked(), m.shift, time.Now(), m.node
		m.mu.Unlock()
		status, answer := m.send(ctx, node, body)
		m.log("report of %d bytes -> node %d: %d", len(body), node, status)
		m.awaitAwake(ctx)
		if time.Since(sent) > reportLimit {
			status = 0
		}
		switch status {
		case http.StatusOK:
			m.accept(answer, shift, sent)
			m.pause(ctx, sent)
			continue
		case http.StatusMisdirectedRequest:
			var redirect protocol.LeaderRedirect
			_ = protocol.Decode(answer, &redirect)
			if next := m.w.nodeIndex(redirect.Leader); next >= 0 && next != node {
				m.mu.Lock()
				m.node = next
				m.mu.Unlock()
				time.Sleep(time.Duration(rand.Int64N(int64(minReportGap))))
				continue
			}
		}
		m.mu.Lock()
		m.node = (node + 1) % len(m.w.nodes)
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// send sends a report and returns the answer; status 0 means that none came in time.
func (m *worker) send(ctx context.Context, node int, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	status, answer, _ := post(ctx, m.client, "http://"+m.w.nodes[node].client+protocol.PathHeartbeat, body)
	return status, answer
}

// post sends a CBOR body and returns status, body and Retry-After of the answer.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, answer, response.Header.Get("Retry-After")
}

// accept executes an answer to a report unless it must be dropped.
func (m *worker) accept(answer []byte, shift uint64, sent time.Time) {
	var response protocol.HeartbeatResponse
	if protocol.Decode(answer, &response) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.gone.IsZero() || shift != m.shift || response.FencingToken == 0 || response.FencingToken < m.baton {
		return
	}
	m.seeLocked(response.FencingToken)
	m.leaseStart = sent
	m.executeLocked(response.Commands, "report")
}

// seeLocked keeps the highest token. A higher one counts as a change once in half of the lease.
func (m *worker) seeLocked(token uint64) {
	if token <= m.baton {
		return
	}
	m.baton = token
	m.log("token %d", token)
	if time.Since(m.batonAt) > m.w.lease/2 {
		m.batonAt, m.changed = time.Now(), true
	}
}

// executeLocked executes commands in order.
func (m *worker) executeLocked(commands []protocol.Command, by string) {
	for _, c := range commands {
		key := fmt.Sprintf("%s try %d", c.Task, c.Attempt)
		existing := m.tasks[key]
		m.log("%s %s (%s, token %d)", c.Verb, key, by, m.baton)
		switch c.Verb {
		case protocol.VerbStart:
			if existing == nil {
				m.launchLocked(c, key)
			}
		case protocol.VerbStop:
			if existing != nil && existing.stage != protocol.TaskExited {
				m.w.taskEnded(m, existing, "stopped")
				existing.stage, existing.cause, existing.endsAt, m.changed = protocol.TaskExited, protocol.CauseStopped, time.Time{}, true
			}
		case protocol.VerbForget:
			if existing != nil && existing.stage == protocol.TaskExited {
				delete(m.tasks, key)
			}
		}
	}
}

// launchLocked starts a task, or refuses it.
func (m *worker) launchLocked(c protocol.Command, key string) {
	id, number, _ := strings.Cut(c.Task, "/")
	index, _ := strconv.Atoi(number)
	job, known := m.w.job(id)
	t := &task{job: id, index: index, attempt: c.Attempt, cpus: job.cpus, run: job.run, stage: protocol.TaskExited}
	used, inUse := job.cpus, false
	for _, other := range m.tasks {
		if other.stage != protocol.TaskExited {
			used += other.cpus
			inUse = inUse || other.job == id && other.index == index
		}
	}
	m.changed = true
	switch {
	case inUse:
		t.cause = protocol.CauseInUse
	case !known || index >= job.tasks:
		t.cause = protocol.CauseNoSuchTask
	case used > m.cpus:
		t.cause = protocol.CauseNoCapacity
	default:
		t.stage, t.endsAt = protocol.TaskFetching, time.Now().Add(fetchTime)
		if m.images["img"] {
			t.endsAt = time.Now()
		}
	}
	m.tasks[key] = t
}

// pause waits until the next report is due.
func (m *worker) pause(ctx context.Context, sent time.Time) {
	due := sent.Add(time.Duration(float64(m.w.report) * (0.75 + rand.Float64()/2)))
	time.Sleep(minReportGap - time.Since(sent))
	for ctx.Err() == nil && time.Now().Before(due) {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if changed {
			return
		}
		time.Sleep(workerTick)
	}
}

// serveDirect serves /orders and /status.
func (m *worker) serveDirect(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	m.awaitAwake(m.w.ctx) // also if the sender has given up: the command is executed late
	m.tick()
	m.mu.Lock()
	if !m.gone.IsZero() {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer m.mu.Unlock()
	status := http.StatusOK
	if r.URL.Path == protocol.PathCommands {
		var push protocol.DirectCommands
		if protocol.Decode(raw, &push) != nil || push.FencingToken == 0 || push.Incarnation == 0 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if push.FencingToken < m.baton || push.Incarnation != m.shift {
			status = http.StatusConflict
		} else {
			m.seeLocked(push.FencingToken)
			m.executeLocked(push.Commands, "direct")
		}
	}
	body := m.encodeLocked()
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}
