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
	leaseFrom             units.Micros
	tasks                 map[taskKey]modelTask
	awaited               bool // a report is in flight
	sentAt                units.Micros
	answer                *protocol.HeartbeatResponse // on its way
	heartbeatIncarnation  uint64
	answersLost           bool // its reports arrive, answers do not reach it
	heartbeatsLost        bool // it reaches no controller; direct commands reach it
	hungUntil             units.Micros
}

func (m *model) hung(w *modelWorker) bool { return m.clock.Now < w.hungUntil }

// sentHeartbeat is a worker's answer to an announcement, on its way.
type sentHeartbeat struct {
	to        *Leader
	heartbeat *protocol.Heartbeat
}

func (m *model) heartbeat() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && !w.awaited && !w.heartbeatsLost && !m.hung(w) {
		m.heartbeatOf(w)
	}
}

// heartbeat makes a worker's report of now.
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
	w.awaited, w.sentAt, w.heartbeatIncarnation, w.answer = true, m.clock.Now, w.incarnation, nil
	if !m.calm && rapid.IntRange(0, 5).Draw(m.t, "report copied") == 0 {
		m.held = append(m.held, r) // the copy comes at any later time
	}
	if !m.calm && rapid.IntRange(0, 4).Draw(m.t, "report held back") == 0 {
		m.held = append(m.held, r)
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

// late brings the leader a report that was held back. Nobody waits for the
// answer any more.
func (m *model) late() {
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(m.t, "held report")
	r := m.held[i]
	for _, w := range m.workers {
		if w.id == r.Machine && w.awaited && w.sequence == r.Sequence && w.incarnation == r.Incarnation {
			return // it still waits
		}
	}
	m.held = slices.Delete(m.held, i, i+1)
	m.serve(r)
}

// deliver brings a worker the answer it waits for, or lets it give up.
func (m *model) deliver() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && w.awaited && !m.hung(w) {
		m.deliverTo(w)
	}
}

func (m *model) deliverTo(w *modelWorker) {
	lost := w.answersLost || !m.calm && rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0
	a := w.answer
	w.awaited, w.answer = false, nil
	if lost || a == nil || m.clock.Now-w.sentAt > workerWaits || a.FencingToken < w.token || w.heartbeatIncarnation != w.incarnation {
		return
	}
	w.token, w.leaseFrom = a.FencingToken, w.sentAt
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
		if m.finals[k.job] != "" {
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
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); !m.hung(w) {
		m.workOn(w)
	}
}

func (m *model) workOn(w *modelWorker) {
	for _, k := range slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index }) {
		task := w.tasks[k]
		if task.stage != protocol.TaskRunning || m.calm && m.services[k.job] {
			continue
		}
		task.stage = protocol.TaskExited
		if task.cause = protocol.CauseError; m.calm || rapid.IntRange(0, 7).Draw(m.t, "fails") > 0 {
			task.cause = protocol.CauseDone
			m.completed[k] = !m.services[k.job]
		}
		w.tasks[k] = task
		return
	}
}

// leaseOf lets a worker begin its next session when its lease has run out.
func (m *model) leaseOf(w *modelWorker) {
	if w.alive && !m.hung(w) && m.clock.Now-w.leaseFrom > modelLease {
		w.incarnation++
		w.leaseFrom = m.clock.Now
		clear(w.tasks)
	}
}

// release returns a machine to the cloud; by its answer the machine is gone.
func (m *model) release() {
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
		t.state.Unreconciled.Resolve(w.id)
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
		leaseFrom:   m.clock.Now,
		tasks:       map[taskKey]modelTask{},
	}
}

// announce tells a worker the term; its answer may come late.
func (m *model) broadcast() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !w.alive || w.answersLost || m.hung(w) {
		return
	}
	w.token = m.leader.token
	m.leader.state.EnsureMachine(w.id, "m", "a", true, m.clock.Now)
	m.told = append(m.told, sentHeartbeat{m.leader, w.heartbeat()})
	if rapid.Bool().Draw(m.t, "answered at once") {
		m.hearTold()
	}
}

// hearTold brings the leader the answers to its announcements.
func (m *model) hearTold() {
	for _, a := range m.told {
		if a.to == m.leader {
			a.to.broadcaster.Answered(a.heartbeat)
		}
	}
	m.told = nil
}

// loseAnswers cuts a worker off from answers, or ends that.
func (m *model) loseAnswers() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.answersLost = !w.answersLost
}

// loseHeartbeats keeps a worker's reports from all controllers, or ends that.
func (m *model) loseHeartbeats() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.heartbeatsLost = !w.heartbeatsLost
}

// hang stops a worker for a while, and cancels a job that runs there.
func (m *model) hang() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.hungUntil = m.clock.Now + units.Micros(rapid.IntRange(500, 15000).Draw(m.t, "hangs ms"))*units.Millisecond
	m.cancelOn(w)
}

// cancelAtEnd cancels a job at the moment at which a task of it may end.
func (m *model) cancelAtEnd() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.hung(w) {
		return
	}
	if rapid.Bool().Draw(m.t, "ends before") {
		m.workOn(w)
		m.cancelOn(w)
	} else {
		m.cancelOn(w)
		m.workOn(w)
	}
}

// cancelOn cancels a job that a worker holds.
func (m *model) cancelOn(w *modelWorker) {
	for _, k := range slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index }) {
		if j := m.leader.state.Jobs[k.job]; j != nil && j.Accepted() && m.jobs[k.job]%2 == 0 {
			m.leader.cancelJob(j)
			return
		}
	}
}

// absence keeps a worker that has just been answered from every controller for a part of
// its lease, while everything else goes on; on some days under a new leader. What a leader
// gives up too soon begins elsewhere meanwhile.
func (m *model) absence() {
	absent := rapid.SampledFrom(m.workers).Draw(m.t, "absent worker")
	if !m.undisturbed(absent) {
		return
	}
	m.ask(absent)
	m.deliverTo(absent)
	if rapid.Bool().Draw(m.t, "a new leader") {
		m.crash()
	}
	m.goOnWithout(absent, modelLease.Share(rapid.Int64Range(50, 95).Draw(m.t, "share of the lease"), 100))
}

// lateAnswer has a leader end while its answer is on its way to a worker. The next leader
// gets a copy of an older report of that worker, and everything else goes on; then the
// answer arrives.
func (m *model) lateAnswer() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !m.undisturbed(w) {
		return
	}
	copied := w.heartbeat()
	m.write() // the names that starts wait for
	m.write()
	m.ask(w)
	m.crash()
	m.serve(copied)
	m.goOnWithout(w, workerWaits-units.Second)
	m.deliverTo(w)
}

// undisturbed tells whether a worker is neither waiting for an answer nor in any trouble.
func (m *model) undisturbed(w *modelWorker) bool {
	return w.alive && !w.awaited && !w.answersLost && !w.heartbeatsLost && !m.hung(w)
}

// ask has a worker report to the leader at once; the answer is on its way.
func (m *model) ask(w *modelWorker) {
	w.awaited, w.sentAt, w.heartbeatIncarnation = true, m.clock.Now, w.incarnation
	w.answer = m.serve(w.heartbeat())
}

// goOnWithout lets a time pass in which all but one worker report and are answered.
func (m *model) goOnWithout(absent *modelWorker, length units.Micros) {
	const step = 500 * units.Millisecond
	for ends := m.clock.Now + length; m.clock.Now < ends; {
		m.clock.Now += step
		m.write()
		m.write()
		m.leader.detector.ExpireLeases(m.clock.Now)
		for _, w := range m.workers {
			m.leaseOf(w)
			if w == absent || !w.alive || w.heartbeatsLost || m.hung(w) {
				continue
			}
			if w.awaited {
				m.deliverTo(w)
			} else {
				m.heartbeatOf(w)
			}
			m.check()
		}
	}
}
