package controller

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
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

// copiesComeFor is for how long after a heartbeat a copy of it may come.
const copiesComeFor = 60 * units.Second

// sentHeartbeat is a heartbeat that a worker has sent, whether or not it has arrived.
type sentHeartbeat struct {
	heartbeat *protocol.Heartbeat
	at        units.Micros
}

// keepForCopies keeps a heartbeat that is sent now.
func (m *model) keepForCopies(heartbeat *protocol.Heartbeat) {
	m.sentHeartbeats = slices.DeleteFunc(m.sentHeartbeats, func(s sentHeartbeat) bool {
		return m.clock.Now-s.at > copiesComeFor
	})
	m.sentHeartbeats = append(m.sentHeartbeats, sentHeartbeat{heartbeat, m.clock.Now})
}

// deliverCopy brings the leader a copy of any heartbeat of the last minute, also of a machine
// that is gone. Nobody waits for the answer.
func (m *model) deliverCopy() {
	if len(m.sentHeartbeats) > 0 {
		m.serve(rapid.SampledFrom(m.sentHeartbeats).Draw(m.t, "copied heartbeat").heartbeat)
	}
}

// failOverAmongCopies has a new leader hear copies, answers to its broadcast and heartbeats in
// any order, while answers to the workers are lost or come late.
func (m *model) failOverAmongCopies() {
	m.failOver()
	m.playAmongCopies()
}

// moveTasksPastFailover preempts what runs on a worker, so that it starts elsewhere. The next
// leader hears first how it was before, and of some other workers only what they answer to its
// broadcast.
func (m *model) moveTasksPastFailover() {
	busy := slices.DeleteFunc(slices.Clone(m.workers), func(w *modelWorker) bool { return len(w.tasks) == 0 })
	if len(busy) == 0 {
		return
	}
	worker := rapid.SampledFrom(busy).Draw(m.t, "busy worker")
	if worker.answerAwaited {
		m.deliverTo(worker)
	}
	machine := m.leader.state.Machines[worker.id]
	if !m.isUndisturbed(worker) || machine == nil {
		return
	}
	before := worker.nextHeartbeat()
	for _, attempt := range machine.SortedAttempts() {
		m.leader.state.StopAttempt(attempt, 0)
	}
	machine.BlockedUntil = m.clock.Now + modelLease // else it all starts there again
	m.runWithout(nil, units.Micros(rapid.IntRange(2, 6).Draw(m.t, "seconds"))*units.Second)
	m.failOver()
	m.serve(before)
	var mute []*modelWorker
	for _, other := range m.workers {
		if other != worker && other.alive && !other.answersLost && !m.isHanging(other) && rapid.Bool().Draw(m.t, "mute") {
			m.broadcastTo(other)
			other.heartbeatsLost = true
			mute = append(mute, other)
		}
	}
	m.runWithout(nil, units.Micros(rapid.IntRange(1, 5).Draw(m.t, "seconds"))*units.Second)
	for _, other := range mute {
		other.heartbeatsLost = false
	}
}

// playAmongCopies brings the leader messages of all kinds in any order.
func (m *model) playAmongCopies() {
	messages := []func(){m.deliverCopy, m.deliverCopy, m.broadcastToken, m.broadcastToken, m.heartbeat, m.deliver}
	for range rapid.IntRange(2, 16).Draw(m.t, "messages") {
		rapid.SampledFrom(messages).Draw(m.t, "message")()
		m.advanceWrite()
		m.checkInvariants()
	}
}

// preempt stops a task on any worker, as work of a higher priority does.
func (m *model) preempt() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	machine := m.leader.state.Machines[worker.id]
	if machine == nil || len(machine.Attempts) == 0 {
		return
	}
	m.leader.state.StopAttempt(rapid.SampledFrom(machine.SortedAttempts()).Draw(m.t, "victim"), 0)
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
		m.expireLeases()
		for _, worker := range m.workers {
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
