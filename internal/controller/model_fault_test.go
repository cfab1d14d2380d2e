package controller

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// deliverDelayedHeartbeat brings the leader a heartbeat that was held back. Nobody waits for
// the answer any more.
func (m *model) deliverDelayedHeartbeat() {
	if len(m.delayedHeartbeats) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedHeartbeats)-1).Draw(m.t, "delayed heartbeat")
	heartbeat := m.delayedHeartbeats[i]
	for _, worker := range m.workers {
		if worker.id == heartbeat.Machine && worker.answerAwaited && worker.sequence == heartbeat.Sequence && worker.incarnation == heartbeat.Incarnation {
			return // it still waits
		}
	}
	m.delayedHeartbeats = slices.Delete(m.delayedHeartbeats, i, i+1)
	m.serve(heartbeat)
}

// loseAnswers cuts a worker off from answers, or ends that.
func (m *model) loseAnswers() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.answersLost = !worker.answersLost
}

// loseHeartbeats keeps a worker's heartbeats from all controllers, or ends that.
func (m *model) loseHeartbeats() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.heartbeatsLost = !worker.heartbeatsLost
}

// hangWorker has a worker hang for a while, and cancels a job that runs there.
func (m *model) hangWorker() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	worker.hungUntil = m.clock.Now + units.Micros(rapid.IntRange(500, 15000).Draw(m.t, "hangs ms"))*units.Millisecond
	m.cancelOn(worker)
}

// cancelAtEnd cancels a job at the moment at which a task of it may end.
func (m *model) cancelAtEnd() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.isHanging(worker) {
		return
	}
	if rapid.Bool().Draw(m.t, "ends before") {
		m.workOn(worker)
		m.cancelOn(worker)
	} else {
		m.cancelOn(worker)
		m.workOn(worker)
	}
}

// cancelOn cancels the first job of an even number of tasks that a worker holds.
func (m *model) cancelOn(worker *modelWorker) {
	for _, key := range worker.sortedTasks() {
		if job := m.leader.state.Jobs[key.job]; job != nil && job.Accepted() && m.jobs[key.job]%2 == 0 {
			m.leader.cancelJob(job)
			return
		}
	}
}

// isolateWorker cuts a worker that has just been answered off from every controller for a part
// of its lease, while everything else goes on; on some days under a new leader. What a leader
// gives up too soon starts elsewhere meanwhile.
func (m *model) isolateWorker() {
	isolated := rapid.SampledFrom(m.workers).Draw(m.t, "isolated worker")
	if !m.isUndisturbed(isolated) {
		return
	}
	m.requestAnswer(isolated)
	m.deliverTo(isolated)
	if rapid.Bool().Draw(m.t, "a new leader") {
		m.failOver()
	}
	m.runWithout(isolated, modelLease.Fraction(rapid.Int64Range(50, 95).Draw(m.t, "share of the lease"), 100))
}

// delayAnswerPastFailover has a leader die while its answer is in flight to a worker. The
// next leader gets a copy of an older heartbeat of that worker, and everything else goes on;
// then the answer arrives.
func (m *model) delayAnswerPastFailover() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !m.isUndisturbed(worker) {
		return
	}
	copied := worker.nextHeartbeat()
	m.advanceWrite() // the machine names that starts wait for
	m.advanceWrite()
	m.requestAnswer(worker)
	m.failOver()
	m.serve(copied)
	m.runWithout(worker, workerTimeout-units.Second)
	m.deliverTo(worker)
}

// isUndisturbed reports whether a worker neither waits for an answer nor has any fault.
func (m *model) isUndisturbed(worker *modelWorker) bool {
	return worker.alive && !worker.answerAwaited && !worker.answersLost && !worker.heartbeatsLost && !m.isHanging(worker)
}

// requestAnswer has a worker's heartbeat reach the leader at once; the answer is in flight.
func (m *model) requestAnswer(worker *modelWorker) {
	worker.answerAwaited, worker.sentAt, worker.heartbeatIncarnation = true, m.clock.Now, worker.incarnation
	worker.answer = m.serve(worker.nextHeartbeat())
}

// runWithout lets a time pass in which all workers but one send heartbeats and are answered.
func (m *model) runWithout(isolated *modelWorker, length units.Micros) {
	const step = 500 * units.Millisecond
	for end := m.clock.Now + length; m.clock.Now < end; {
		m.clock.Now += step
		m.advanceWrite()
		m.advanceWrite()
		m.leader.detector.ExpireWorkerLeases(m.clock.Now)
		for _, worker := range m.workers {
			m.expireLeaseOf(worker)
			if worker == isolated || !worker.alive || worker.heartbeatsLost || m.isHanging(worker) {
				continue
			}
			if worker.answerAwaited {
				m.deliverTo(worker)
			} else {
				m.sendHeartbeat(worker)
			}
			m.checkInvariants()
		}
	}
}
