package controller

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

type modelTask struct {
	attempt uint64
	stage   protocol.TaskStage
	cause   protocol.ExitCause
}

type taskKey struct {
	job   string
	index int
}

type modelWorker struct {
	id                    string
	alive                 bool
	incarnation, sequence uint64
	token                 uint64
	leaseStart            units.Micros
	tasks                 map[taskKey]modelTask
	answerAwaited         bool // a report is in flight
	sentAt                units.Micros
	answer                *protocol.HeartbeatResponse // on its way
	heartbeatIncarnation  uint64
	answersLost           bool // its reports arrive, answers do not reach it
	heartbeatsLost        bool // it reaches no controller; direct commands reach it
	hungUntil             units.Micros
}

func (m *model) isHanging(w *modelWorker) bool { return m.clock.Now < w.hungUntil }

// broadcastAnswer is a worker's answer to an announcement, on its way.
type broadcastAnswer struct {
	to        *Leader
	heartbeat *protocol.Heartbeat
}

func (m *model) heartbeat() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && !w.answerAwaited && !w.heartbeatsLost && !m.isHanging(w) {
		m.heartbeatOf(w)
	}
}

// heartbeat makes the worker's heartbeat of now.
func (w *modelWorker) heartbeat() *protocol.Heartbeat {
	w.sequence++
	r := &protocol.Heartbeat{
		Machine:      w.id,
		InstanceType: "m",
		Zone:         "a",
		Spot:         true,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.token,
	}
	keys := slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index })
	for _, k := range keys {
		task := w.tasks[k]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{
			Job:     k.job,
			Index:   k.index,
			Attempt: task.attempt,
			Stage:   task.stage,
			Cause:   task.cause,
		})
	}
	return r
}

func (m *model) heartbeatOf(w *modelWorker) {
	r := w.heartbeat()
	w.answerAwaited, w.sentAt, w.heartbeatIncarnation, w.answer = true, m.clock.Now, w.incarnation, nil
	if !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "report copied") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, r) // the copy comes at any later time
	}
	if !m.faultsEnded && rapid.IntRange(0, 4).Draw(m.t, "report held back") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, r)
		return
	}
	w.answer = m.serve(r)
}

func (m *model) serve(r *protocol.Heartbeat) *protocol.HeartbeatResponse {
	t, now := m.leader, m.clock.Now
	machine := t.reconciler.Reconcile(r, now)
	if machine == nil {
		return nil
	}
	t.detector.ExpireLeases(now)
	t.scheduler.RunCycle(now, machine)
	return &protocol.HeartbeatResponse{FencingToken: t.token, Commands: t.reconciler.Commands(machine, r, now)}
}

// deliverDelayedHeartbeat brings the leader a report that was held back. Nobody waits for the
// answer any more.
func (m *model) deliverDelayedHeartbeat() {
	if len(m.delayedHeartbeats) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedHeartbeats)-1).Draw(m.t, "held report")
	r := m.delayedHeartbeats[i]
	for _, w := range m.workers {
		if w.id == r.Machine && w.answerAwaited && w.sequence == r.Sequence && w.incarnation == r.Incarnation {
			return // it still waits
		}
	}
	m.delayedHeartbeats = slices.Delete(m.delayedHeartbeats, i, i+1)
	m.serve(r)
}

// deliver brings a worker the answer it waits for, or lets it give up.
func (m *model) deliver() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && w.answerAwaited && !m.isHanging(w) {
		m.deliverTo(w)
	}
}

func (m *model) deliverTo(w *modelWorker) {
	lost := w.answersLost || !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0
	a := w.answer
	w.answerAwaited, w.answer = false, nil
	if lost || a == nil || m.clock.Now-w.sentAt > workerTimeout || a.FencingToken < w.token || w.heartbeatIncarnation != w.incarnation {
		return
	}
	w.token, w.leaseStart = a.FencingToken, w.sentAt
	for _, c := range a.Commands {
		m.execute(w, c)
	}
}

func (m *model) execute(w *modelWorker, c protocol.Command) {
	var k taskKey
	if _, err := fmt.Sscanf(c.Task, "j-%06d/%d", new(int), &k.index); err != nil {
		m.t.Fatalf("command names %q", c.Task)
	}
	k.job = c.Task[:8]
	task, here := w.tasks[k]
	switch c.Verb {
	case protocol.VerbStart:
		if here && (task.attempt == c.Attempt || task.stage != protocol.TaskExited) {
			return
		}
		for _, o := range m.workers {
			if other, ok := o.tasks[k]; ok && o != w && o.alive && other.stage != protocol.TaskExited {
				m.t.Fatalf("%s starts on %s while it is on %s", c.Task, w.id, o.id)
			}
		}
		if m.terminalStages[k.job] != "" {
			m.t.Fatalf("%s starts though its job is over", c.Task)
		}
		w.tasks[k] = modelTask{attempt: c.Attempt, stage: protocol.TaskRunning}
	case protocol.VerbStop:
		if here && task.attempt == c.Attempt && task.stage != protocol.TaskExited {
			w.tasks[k] = modelTask{c.Attempt, protocol.TaskExited, protocol.CauseStopped}
		}
	case protocol.VerbForget:
		if here && task.attempt == c.Attempt && task.stage == protocol.TaskExited {
			delete(w.tasks, k)
		}
	}
}

func (m *model) work() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); !m.isHanging(w) {
		m.workOn(w)
	}
}

func (m *model) workOn(w *modelWorker) {
	for _, k := range slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index }) {
		task := w.tasks[k]
		if task.stage != protocol.TaskRunning || m.faultsEnded && m.services[k.job] {
			continue
		}
		task.stage = protocol.TaskExited
		if task.cause = protocol.CauseError; m.faultsEnded || rapid.IntRange(0, 7).Draw(m.t, "fails") > 0 {
			task.cause = protocol.CauseDone
			m.completed[k] = !m.services[k.job]
		}
		w.tasks[k] = task
		return
	}
}

// expireLeaseOf lets a worker begin its next session when its lease has run out.
func (m *model) expireLeaseOf(w *modelWorker) {
	if w.alive && !m.isHanging(w) && m.clock.Now-w.leaseStart > modelLease {
		w.incarnation++
		w.leaseStart = m.clock.Now
		clear(w.tasks)
	}
}

// releaseAnyWorker returns a machine to the cloud; by its answer the machine is gone.
func (m *model) releaseAnyWorker() {
	m.releaseWorker(rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "released"))
}

func (m *model) releaseWorker(i int) {
	w := m.workers[i]
	w.alive = false
	t, now := m.leader, m.clock.Now
	t.state.Released.Add(w.id, now)
	if machine := t.state.Machines[w.id]; machine != nil {
		t.state.RemoveMachine(machine, now)
	} else {
		t.state.MarkReconciled(w.id)
	}
	m.workers[i] = m.newWorker()
}

func (m *model) newWorker() *modelWorker {
	id := fmt.Sprintf("i-%06d", m.store.revision*10+uint64(len(m.workers)))
	m.store.revision++
	return &modelWorker{
		id:          id,
		alive:       true,
		incarnation: 1,
		leaseStart:  m.clock.Now,
		tasks:       map[taskKey]modelTask{},
	}
}

// announce tells a worker the term; its answer may come late.
func (m *model) broadcastToken() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !w.alive || w.answersLost || m.isHanging(w) {
		return
	}
	w.token = m.leader.token
	m.leader.state.EnsureMachine(w.id, "m", "a", true, m.clock.Now)
	m.broadcastAnswers = append(m.broadcastAnswers, broadcastAnswer{m.leader, w.heartbeat()})
	if rapid.Bool().Draw(m.t, "answered at once") {
		m.deliverBroadcastAnswers()
	}
}

// deliverBroadcastAnswers brings the leader the answers to its announcements.
func (m *model) deliverBroadcastAnswers() {
	for _, a := range m.broadcastAnswers {
		if a.to == m.leader {
			a.to.broadcaster.Answered(a.heartbeat)
		}
	}
	m.broadcastAnswers = nil
}
