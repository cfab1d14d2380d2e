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

// taskKey identifies a task.
type taskKey struct {
	job   string
	index int
}

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.index, b.index))
}

// modelWorker simulates the worker of one machine.
type modelWorker struct {
	id                    string
	alive                 bool
	incarnation, sequence uint64
	token                 uint64 // highest fencing token seen
	leaseStart            units.Micros
	tasks                 map[taskKey]modelTask
	responseAwaited       bool // the response to a heartbeat is awaited
	sentAt                units.Micros
	response              *protocol.HeartbeatResponse // response in flight; nil if there is none
	heartbeatIncarnation  uint64                      // incarnation in the heartbeat whose response is awaited
	responsesLost         bool                        // heartbeats arrive, but all responses are lost
	heartbeatsLost        bool                        // heartbeats reach no controller; calls from the leader reach the worker
	hungUntil             units.Micros
}

// newWorker returns the worker of a new machine.
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

// nextHeartbeat returns a heartbeat with the next sequence number and the current tasks.
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

// sendAnyHeartbeat has any worker send a heartbeat, if it is able to.
func (m *model) sendAnyHeartbeat() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); worker.alive && !worker.responseAwaited && !worker.heartbeatsLost && !m.isHanging(worker) {
		m.sendHeartbeat(worker)
	}
}

// sendHeartbeat has a worker send a heartbeat, which the network may duplicate or delay.
func (m *model) sendHeartbeat(worker *modelWorker) {
	heartbeat := worker.nextHeartbeat()
	m.retainForDuplicates(heartbeat)
	worker.responseAwaited, worker.sentAt, worker.heartbeatIncarnation, worker.response = true, m.clock.Now, worker.incarnation, nil
	if !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "heartbeat duplicated") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, heartbeat) // the duplicate is delivered at any later time
	}
	if !m.faultsEnded && rapid.IntRange(0, 4).Draw(m.t, "heartbeat delayed") == 0 {
		m.delayedHeartbeats = append(m.delayedHeartbeats, heartbeat)
		return
	}
	worker.response = m.handleHeartbeat(heartbeat)
}

// handleHeartbeat has the leader handle a heartbeat. It returns the response, or nil if there
// is none.
func (m *model) handleHeartbeat(heartbeat *protocol.Heartbeat) *protocol.HeartbeatResponse {
	leader, now := m.leader, m.clock.Now
	machine := leader.reconciler.Reconcile(heartbeat, now)
	if machine == nil && leader.reconciler.MissesToken(heartbeat) {
		return &protocol.HeartbeatResponse{FencingToken: leader.token}
	}
	if machine == nil {
		return nil
	}
	leader.detector.ExpireWorkerLeases(now)
	leader.scheduler.RunCycle(now, machine)
	return &protocol.HeartbeatResponse{FencingToken: leader.token, Commands: leader.reconciler.Commands(machine, heartbeat, now)}
}

// deliverAnyResponse delivers the awaited response to any worker, or lets the worker time out.
func (m *model) deliverAnyResponse() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); worker.alive && worker.responseAwaited && !m.isHanging(worker) {
		m.deliverResponse(worker)
	}
}

// deliverResponse delivers the awaited response to a worker, unless the response is lost, late or
// outdated.
func (m *model) deliverResponse(worker *modelWorker) {
	lost := worker.responsesLost || !m.faultsEnded && rapid.IntRange(0, 5).Draw(m.t, "response lost") == 0
	response := worker.response
	worker.responseAwaited, worker.response = false, nil
	if lost || response == nil || m.clock.Now-worker.sentAt > workerTimeout || response.FencingToken < worker.token || worker.heartbeatIncarnation != worker.incarnation {
		return
	}
	worker.token, worker.leaseStart = response.FencingToken, worker.sentAt
	for _, command := range response.Commands {
		m.execute(worker, command)
	}
}

// modelStart identifies an attempt of a task.
type modelStart struct {
	task    taskKey
	attempt uint64
}

// execute has a worker carry out a command. It fails the test if a task starts while it is on
// another worker, or after its job has reached a terminal state, or if an attempt starts again.
func (m *model) execute(worker *modelWorker, command protocol.Command) {
	if key := parseTaskKey(command.Task); command.Verb == protocol.VerbStart && key.index >= m.jobs[key.job] {
		worker.refuse(key, command.Attempt)
		return
	}
	started, ok := worker.carryOut(command)
	if !ok {
		return
	}
	start := modelStart{started, command.Attempt}
	if m.startedAttempts[start] {
		m.t.Fatalf("attempt %d of %s starts a second time, on %s", command.Attempt, command.Task, worker.id)
	}
	m.startedAttempts[start] = true
	for _, other := range m.workers {
		if other != worker && other.alive && other.holds(started) && !m.hangsBeyondLease(other) {
			m.t.Fatalf("%s starts on %s while it is on %s", command.Task, worker.id, other.id)
		}
	}
	if m.terminalStages[started.job] != "" {
		m.t.Fatalf("%s starts although its job is in a terminal state", command.Task)
	}
}

// hangsBeyondLease reports whether a worker hangs whose lease has expired. It drops its tasks when it
// resumes, so they may start elsewhere (docs/questions.md, 16).
func (m *model) hangsBeyondLease(worker *modelWorker) bool {
	return m.isHanging(worker) && m.clock.Now-worker.leaseStart > modelLease
}

// holds reports whether a task is on the worker and has not exited.
func (w *modelWorker) holds(key taskKey) bool {
	task, held := w.tasks[key]
	return held && task.stage != protocol.TaskExited
}

// refuse has the worker refuse the start of a task that the job does not have.
func (w *modelWorker) refuse(key taskKey, attempt uint64) {
	if task, held := w.tasks[key]; !held || task.attempt != attempt {
		w.tasks[key] = modelTask{attempt, protocol.TaskExited, protocol.CauseNoSuchTask}
	}
}

// carryOut has the worker carry out a command. If this starts a task, it returns the key of the
// task and true.
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

// parseTaskKey returns the key of a task from its name in a command.
func parseTaskKey(name string) taskKey {
	job, index, found := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if !found || err != nil {
		panic("malformed task name in a command: " + name)
	}
	return taskKey{job, number}
}

// endAnyTask ends a task on any worker.
func (m *model) endAnyTask() {
	if worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); !m.isHanging(worker) {
		m.endRunningTask(worker)
	}
}

// endRunningTask ends the first running task on a worker, successfully or with an error.
func (m *model) endRunningTask(worker *modelWorker) {
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

// expireLeaseOf has a worker drop its tasks and begin its next incarnation if its lease has
// expired.
func (m *model) expireLeaseOf(worker *modelWorker) {
	if worker.alive && !m.isHanging(worker) && m.clock.Now-worker.leaseStart > modelLease {
		worker.incarnation++
		worker.leaseStart = m.clock.Now
		clear(worker.tasks)
	}
}

// expireLeases expires the leases that are over now, so that the invariants are checked against
// the tasks that workers hold at this time.
func (m *model) expireLeases() {
	for _, worker := range m.workers {
		m.expireLeaseOf(worker)
	}
}

// releaseAnyWorker has the leader scale in any machine.
func (m *model) releaseAnyWorker() {
	m.releaseWorker(rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "released"))
}

// releaseWorker returns a machine to the cloud and adds a new one in its place. The cloud
// answers only after the machine has ended, so its tasks are gone before the leader removes it.
func (m *model) releaseWorker(i int) {
	worker := m.workers[i]
	worker.alive = false
	state, now := m.leader.state, m.clock.Now
	state.Released.Add(worker.id, now)
	if machine := state.Machines[worker.id]; machine != nil {
		state.RemoveMachine(machine, now)
	} else {
		state.MachineGone(worker.id)
	}
	m.workers[i] = m.newWorker()
}

// broadcastResponse is a worker's response, in flight, to the broadcast of a leader's fencing
// token.
type broadcastResponse struct {
	to        *Leader
	heartbeat *protocol.Heartbeat
}

// broadcastToken sends the leader's fencing token to any worker.
func (m *model) broadcastToken() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if worker.alive && !worker.responsesLost && !m.isHanging(worker) {
		m.broadcastTo(worker)
	}
}

// broadcastTo sends the leader's fencing token to a worker. The response may be delayed.
func (m *model) broadcastTo(worker *modelWorker) {
	worker.token = m.leader.token
	m.leader.state.EnsureMachine(worker.id, "m", "a", true, m.clock.Now)
	m.broadcastResponses = append(m.broadcastResponses, broadcastResponse{m.leader, worker.nextHeartbeat()})
	if rapid.Bool().Draw(m.t, "answered at once") {
		m.deliverBroadcastResponses()
	}
}

// deliverBroadcastResponses delivers the responses to the broadcast of the current leader and
// drops the others.
func (m *model) deliverBroadcastResponses() {
	for _, response := range m.broadcastResponses {
		if response.to == m.leader {
			response.to.broadcaster.ReconcileResponse(response.heartbeat)
		}
	}
	m.broadcastResponses = nil
}
