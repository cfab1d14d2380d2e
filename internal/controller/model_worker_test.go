package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// modelTask is a task that a worker holds.
type modelTask struct {
	attempt uint64
	stage   protocol.TaskStage
	cause   protocol.ExitCause
}

// taskKey names a task.
type taskKey struct {
	job   string
	index int
}

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.index, b.index))
}

// modelWorker is a worker on a machine of its own.
type modelWorker struct {
	id                    string
	alive                 bool
	incarnation, sequence uint64
	token                 uint64 // the highest fencing token that it has seen
	leaseStart            units.Micros
	tasks                 map[taskKey]modelTask
	answerAwaited         bool // a heartbeat is in flight
	sentAt                units.Micros
	answer                *protocol.HeartbeatResponse // in flight
	heartbeatIncarnation  uint64
	answersLost           bool // its heartbeats arrive, answers do not reach it
	heartbeatsLost        bool // it reaches no controller; direct commands reach it
	hungUntil             units.Micros
}

// newWorker returns a worker that has just come up.
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

func (m *model) isHanging(worker *modelWorker) bool { return m.clock.Now < worker.hungUntil }

// sortedTasks returns the keys of the worker's tasks, by job and index.
func (w *modelWorker) sortedTasks() []taskKey {
	return slices.SortedFunc(maps.Keys(w.tasks), compareTaskKeys)
}

// nextHeartbeat returns the worker's heartbeat of now.
func (w *modelWorker) nextHeartbeat() *protocol.Heartbeat {
	w.sequence++
	heartbeat := testHeartbeat(w.id, w.incarnation, w.sequence, w.token)
	for _, key := range w.sortedTasks() {
		task := w.tasks[key]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Job:     key.job,
			Index:   key.index,
			Attempt: task.attempt,
			Stage:   task.stage,
			Cause:   task.cause,
		})
	}
	return heartbeat
}

// heartbeat has any worker send a heartbeat.
func (m *model) heartbeat() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); worker.alive && !worker.answerAwaited && !worker.heartbeatsLost && !m.isHanging(worker) {
		m.sendHeartbeat(worker)
	}
}

// sendHeartbeat has a worker send a heartbeat, which the network may copy or hold back.
func (m *model) sendHeartbeat(worker *modelWorker) {
	heartbeat := worker.nextHeartbeat()
	m.keepForCopies(heartbeat)
	worker.answerAwaited, worker.sentAt, worker.heartbeatIncarnation, worker.answer = true, m.clock.Now, worker.incarnation, nil
	if !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "heartbeat copied") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, heartbeat) // the copy comes at any later time
	}
	if !m.faultsEnded && rapid.IntRange(0, 4).Draw(m.t, "heartbeat held back") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, heartbeat)
		return
	}
	worker.answer = m.serve(heartbeat)
}

// serve has the leader handle a heartbeat and returns its answer, nil if it gives none.
func (m *model) serve(heartbeat *protocol.Heartbeat) *protocol.HeartbeatResponse {
	leader, now := m.leader, m.clock.Now
	machine := leader.reconciler.Reconcile(heartbeat, now)
	if machine == nil {
		return nil
	}
	leader.detector.ExpireWorkerLeases(now)
	leader.scheduler.RunCycle(now, machine)
	return &protocol.HeartbeatResponse{FencingToken: leader.token, Commands: leader.reconciler.Commands(machine, heartbeat, now)}
}

// deliver brings any worker the answer it waits for, or lets it give up.
func (m *model) deliver() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); worker.alive && worker.answerAwaited && !m.isHanging(worker) {
		m.deliverTo(worker)
	}
}

// deliverTo brings a worker the answer it waits for, unless it is lost or too late.
func (m *model) deliverTo(worker *modelWorker) {
	lost := worker.answersLost || !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0
	answer := worker.answer
	worker.answerAwaited, worker.answer = false, nil
	if lost || answer == nil || m.clock.Now-worker.sentAt > workerTimeout || answer.FencingToken < worker.token || worker.heartbeatIncarnation != worker.incarnation {
		return
	}
	worker.token, worker.leaseStart = answer.FencingToken, worker.sentAt
	for _, command := range answer.Commands {
		m.execute(worker, command)
	}
}

// execute has a worker carry out a command. A task may neither start while it is on another
// worker nor once its job is in a terminal state.
func (m *model) execute(worker *modelWorker, command protocol.Command) {
	started, ok := worker.carryOut(command)
	if !ok {
		return
	}
	for _, other := range m.workers {
		if other != worker && other.alive && other.holds(started) {
			m.t.Fatalf("%s starts on %s while it is on %s", command.Task, worker.id, other.id)
		}
	}
	if m.terminalStages[started.job] != "" {
		m.t.Fatalf("%s starts though its job is in a terminal state", command.Task)
	}
}

// holds reports whether a task is on the worker and has not ended.
func (w *modelWorker) holds(key taskKey) bool {
	task, held := w.tasks[key]
	return held && task.stage != protocol.TaskExited
}

// carryOut has the worker carry out a command. It returns the task that this started, and
// whether it started any.
func (w *modelWorker) carryOut(command protocol.Command) (started taskKey, ok bool) {
	key := parseTaskKey(command.Task)
	task, held := w.tasks[key]
	switch command.Verb {
	case protocol.VerbStart:
		if held && (task.attempt == command.Attempt || task.stage != protocol.TaskExited) {
			return taskKey{}, false
		}
		w.tasks[key] = modelTask{attempt: command.Attempt, stage: protocol.TaskRunning}
		return key, true
	case protocol.VerbStop:
		if held && task.attempt == command.Attempt && task.stage != protocol.TaskExited {
			w.tasks[key] = modelTask{command.Attempt, protocol.TaskExited, protocol.CauseStopped}
		}
	case protocol.VerbForget:
		if held && task.attempt == command.Attempt && task.stage == protocol.TaskExited {
			delete(w.tasks, key)
		}
	}
	return taskKey{}, false
}

// parseTaskKey returns the key of the task that a command names.
func parseTaskKey(name string) taskKey {
	job, index, found := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if !found || err != nil {
		panic("a command names " + name)
	}
	return taskKey{job, number}
}

// work ends a task on any worker.
func (m *model) work() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); !m.isHanging(worker) {
		m.workOn(worker)
	}
}

// workOn ends the first task that runs on a worker, done or failed.
func (m *model) workOn(worker *modelWorker) {
	for _, key := range worker.sortedTasks() {
		task := worker.tasks[key]
		if task.stage != protocol.TaskRunning || m.faultsEnded && m.services[key.job] {
			continue
		}
		task.stage = protocol.TaskExited
		if task.cause = protocol.CauseError; m.faultsEnded || rapid.IntRange(0, 7).Draw(m.t, "fails") > 0 {
			task.cause = protocol.CauseDone
			m.completed[key] = !m.services[key.job]
		}
		worker.tasks[key] = task
		return
	}
}

// expireLeaseOf has a worker begin its next incarnation if its lease has expired.
func (m *model) expireLeaseOf(worker *modelWorker) {
	if worker.alive && !m.isHanging(worker) && m.clock.Now-worker.leaseStart > modelLease {
		worker.incarnation++
		worker.leaseStart = m.clock.Now
		clear(worker.tasks)
	}
}

// expireLeases expires the leases of all workers that are over now, so that what is checked at
// this time is what workers hold at it.
func (m *model) expireLeases() {
	for _, worker := range m.workers {
		m.expireLeaseOf(worker)
	}
}

// releaseAnyWorker has the leader scale in any machine.
func (m *model) releaseAnyWorker() {
	m.releaseWorker(rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "released"))
}

// releaseWorker returns a machine to the cloud: when the cloud answers, the machine is gone.
// Another one takes its place.
func (m *model) releaseWorker(i int) {
	worker := m.workers[i]
	worker.alive = false
	state, now := m.leader.state, m.clock.Now
	state.Released.Add(worker.id, now)
	if machine := state.Machines[worker.id]; machine != nil {
		state.RemoveMachine(machine, now)
	} else {
		state.Unreconciled.Resolve(worker.id)
	}
	m.workers[i] = m.newWorker()
}

// broadcastAnswer is a worker's answer to the broadcast of a leader's token, in flight.
type broadcastAnswer struct {
	to        *Leader
	heartbeat *protocol.Heartbeat
}

// broadcastToken has any worker learn the leader's token.
func (m *model) broadcastToken() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if worker.alive && !worker.answersLost && !m.isHanging(worker) {
		m.broadcastTo(worker)
	}
}

// broadcastTo has a worker learn the leader's token; its answer may come late.
func (m *model) broadcastTo(worker *modelWorker) {
	worker.token = m.leader.token
	m.leader.state.EnsureMachine(worker.id, "m", "a", true, m.clock.Now)
	m.broadcastAnswers = append(m.broadcastAnswers, broadcastAnswer{m.leader, worker.nextHeartbeat()})
	if rapid.Bool().Draw(m.t, "answered at once") {
		m.deliverBroadcastAnswers()
	}
}

// deliverBroadcastAnswers brings the leader the answers to its broadcast.
func (m *model) deliverBroadcastAnswers() {
	for _, answer := range m.broadcastAnswers {
		if answer.to == m.leader {
			answer.to.broadcaster.ReconcileResponse(answer.heartbeat)
		}
	}
	m.broadcastAnswers = nil
}
