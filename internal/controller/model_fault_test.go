package controller

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// deliverDelayedHeartbeat delivers a delayed heartbeat to the leader. The worker no longer
// waits for the response.
func (m *model) deliverDelayedHeartbeat() {
	if len(m.delayedHeartbeats) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedHeartbeats)-1).Draw(m.t, "delayed heartbeat")
	heartbeat := m.delayedHeartbeats[i]
	for _, worker := range m.workers {
		if worker.id == heartbeat.Machine && worker.responseAwaited && worker.sequence == heartbeat.Sequence && worker.incarnation == heartbeat.Incarnation {
			return // the worker still waits for the response
		}
	}
	m.delayedHeartbeats = slices.Delete(m.delayedHeartbeats, i, i+1)
	m.handleHeartbeat(heartbeat)
}

// duplicateWindow is how long after a heartbeat was sent a duplicate of it may be delivered.
const duplicateWindow = 60 * units.Second

// sentHeartbeat is a heartbeat that a worker has sent, whether or not it was delivered.
type sentHeartbeat struct {
	heartbeat *protocol.Heartbeat
	at        units.Micros
}

// retainForDuplicates records a heartbeat that is sent now, so that deliverDuplicate can
// deliver it again.
func (m *model) retainForDuplicates(heartbeat *protocol.Heartbeat) {
	m.sentHeartbeats = slices.DeleteFunc(m.sentHeartbeats, func(s sentHeartbeat) bool {
		return m.clock.Now-s.at > duplicateWindow
	})
	m.sentHeartbeats = append(m.sentHeartbeats, sentHeartbeat{heartbeat, m.clock.Now})
}

// deliverDuplicate delivers a duplicate of any heartbeat of the last minute to the leader,
// including those of released machines. No worker waits for the response.
func (m *model) deliverDuplicate() {
	if len(m.sentHeartbeats) > 0 {
		m.handleHeartbeat(rapid.SampledFrom(m.sentHeartbeats).Draw(m.t, "duplicated heartbeat").heartbeat)
	}
}

// failOverWithDuplicates elects a new leader, which receives duplicates, responses to
// its broadcast and heartbeats in any order, while responses to the workers are lost or delayed.
func (m *model) failOverWithDuplicates() {
	m.failOver()
	m.deliverMixedMessages()
}

// preemptThenFailOver preempts the tasks on a worker, so that they start elsewhere, and then
// fails over. The first message to the next leader is the worker's heartbeat from before the
// preemption. From some other workers the next leader receives only their responses to its
// broadcast.
func (m *model) preemptThenFailOver() {
	busy := slices.DeleteFunc(slices.Clone(m.workers), func(w *modelWorker) bool { return len(w.tasks) == 0 })
	if len(busy) == 0 {
		return
	}
	worker := rapid.SampledFrom(busy).Draw(m.t, "busy worker")
	if worker.responseAwaited {
		m.deliverResponse(worker)
	}
	machine := m.leader.state.Machines[worker.id]
	if !m.isIdleAndFaultFree(worker) || machine == nil {
		return
	}
	oldHeartbeat := worker.nextHeartbeat()
	for _, attempt := range machine.SortedAttempts() {
		m.leader.state.StopAttempt(attempt, 0)
	}
	machine.BlockedUntil = m.clock.Now + modelLease // otherwise the tasks start there again
	m.runAllExcept(nil, units.Micros(rapid.IntRange(2, 6).Draw(m.t, "seconds"))*units.Second)
	m.failOver()
	m.handleHeartbeat(oldHeartbeat)
	var broadcastOnly []*modelWorker
	for _, other := range m.workers {
		if other != worker && other.alive && !other.responsesLost && !m.isHanging(other) && rapid.Bool().Draw(m.t, "broadcast only") {
			m.broadcastTo(other)
			other.heartbeatsLost = true
			broadcastOnly = append(broadcastOnly, other)
		}
	}
	m.runAllExcept(nil, units.Micros(rapid.IntRange(1, 5).Draw(m.t, "seconds"))*units.Second)
	for _, other := range broadcastOnly {
		other.heartbeatsLost = false
	}
}

// deliverMixedMessages delivers messages of all kinds to the leader in any order.
func (m *model) deliverMixedMessages() {
	messages := []func(){
		m.deliverDuplicate, m.deliverDuplicate, m.broadcastToken, m.broadcastToken, m.sendAnyHeartbeat, m.deliverAnyResponse,
		m.pushCommands, m.deliverPushCopy,
	}
	for range rapid.IntRange(2, 16).Draw(m.t, "messages") {
		rapid.SampledFrom(messages).Draw(m.t, "message")()
		m.advanceWrite()
		m.checkInvariants()
	}
}

// preempt stops a task on any worker, as a preemption by a job of higher priority does.
func (m *model) preempt() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	machine := m.leader.state.Machines[worker.id]
	if machine == nil || len(machine.Attempts) == 0 {
		return
	}
	m.leader.state.StopAttempt(rapid.SampledFrom(machine.SortedAttempts()).Draw(m.t, "victim"), 0)
}

// toggleResponseLoss starts or ends the loss of all responses to a worker.
func (m *model) toggleResponseLoss() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.responsesLost = !worker.responsesLost
}

// toggleHeartbeatLoss starts or ends the loss of all heartbeats of a worker.
func (m *model) toggleHeartbeatLoss() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.heartbeatsLost = !worker.heartbeatsLost
}

// hangWorker makes a worker hang for a while and cancels a job that it runs.
func (m *model) hangWorker() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.hungUntil = m.clock.Now + units.Micros(rapid.IntRange(500, 15000).Draw(m.t, "hang in ms"))*units.Millisecond
	m.cancelOn(worker)
}

// cancelAsTaskEnds cancels a job immediately before or after a task on the same worker ends.
func (m *model) cancelAsTaskEnds() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.isHanging(worker) {
		return
	}
	if rapid.Bool().Draw(m.t, "ends before") {
		m.endRunningTask(worker)
		m.cancelOn(worker)
	} else {
		m.cancelOn(worker)
		m.endRunningTask(worker)
	}
}

// cancelOn cancels the first job on a worker that has an even number of tasks.
func (m *model) cancelOn(worker *modelWorker) {
	for _, key := range worker.sortedTasks() {
		if job := m.leader.state.Jobs[key.job]; job != nil && job.Accepted() && m.jobs[key.job]%2 == 0 {
			m.leader.cancelJob(job)
			return
		}
	}
}

// isolateWorker partitions a worker from every controller for a part of its lease, right after
// the response to a heartbeat, while everything else continues; in some runs under a new leader.
// A leader that considers the worker's lease expired too early starts its tasks elsewhere while
// they still run.
func (m *model) isolateWorker() {
	isolated := rapid.SampledFrom(m.workers).Draw(m.t, "isolated worker")
	if !m.isIdleAndFaultFree(isolated) {
		return
	}
	m.sendHeartbeatReliably(isolated)
	m.deliverResponse(isolated)
	if rapid.Bool().Draw(m.t, "a new leader") {
		m.failOver()
	}
	m.runAllExcept(isolated, modelLease.Fraction(rapid.Int64Range(50, 95).Draw(m.t, "share of the lease"), 100))
}

// delayResponseUntilAfterFailover has a leader fail while its response is in flight to a worker.
// The next leader receives a duplicate of an older heartbeat of that worker, and everything
// else continues; then the response arrives.
func (m *model) delayResponseUntilAfterFailover() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !m.isIdleAndFaultFree(worker) {
		return
	}
	duplicate := worker.nextHeartbeat()
	m.advanceWrite() // store the machine names that start commands depend on
	m.advanceWrite()
	m.sendHeartbeatReliably(worker)
	m.failOver()
	m.handleHeartbeat(duplicate)
	m.runAllExcept(worker, workerTimeout-units.Second)
	m.deliverResponse(worker)
}

// isIdleAndFaultFree reports whether a worker is alive, waits for no response and has no fault.
func (m *model) isIdleAndFaultFree(worker *modelWorker) bool {
	return worker.alive && !worker.responseAwaited && !worker.responsesLost && !worker.heartbeatsLost && !m.isHanging(worker)
}

// sendHeartbeatReliably delivers a heartbeat of a worker to the leader without random faults.
// The response stays in flight.
func (m *model) sendHeartbeatReliably(worker *modelWorker) {
	worker.responseAwaited, worker.sentAt, worker.heartbeatIncarnation = true, m.clock.Now, worker.incarnation
	worker.response = m.handleHeartbeat(worker.nextHeartbeat())
}

// runAllExcept advances the clock by length while all workers except isolated send heartbeats
// and receive responses.
func (m *model) runAllExcept(isolated *modelWorker, length units.Micros) {
	const step = 500 * units.Millisecond
	for end := m.clock.Now + length; m.clock.Now < end; {
		m.clock.Now += step
		m.advanceWrite()
		m.advanceWrite()
		m.leader.detector.ExpireWorkerLeases(m.clock.Now)
		m.expireLeases()
		for _, worker := range m.workers {
			if worker == isolated || !worker.alive || worker.heartbeatsLost || m.isHanging(worker) {
				continue
			}
			if worker.responseAwaited {
				m.deliverResponse(worker)
			} else {
				m.sendHeartbeat(worker)
			}
			m.checkInvariants()
		}
	}
}
