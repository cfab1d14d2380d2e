package controller

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

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

// hangWorker stops a worker for a while, and cancels a job that runs there.
func (m *model) hangWorker() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.hungUntil = m.clock.Now + units.Micros(rapid.IntRange(500, 15000).Draw(m.t, "hangs ms"))*units.Millisecond
	m.cancelOn(w)
}

// cancelAtEnd cancels a job at the moment at which a task of it may end.
func (m *model) cancelAtEnd() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.isHanging(w) {
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

// isolateWorker keeps a worker that has just been answered from every controller for a part of
// its lease, while everything else goes on; on some days under a new leader. What a leader
// gives up too soon begins elsewhere meanwhile.
func (m *model) isolateWorker() {
	absent := rapid.SampledFrom(m.workers).Draw(m.t, "absent worker")
	if !m.isUndisturbed(absent) {
		return
	}
	m.requestAnswer(absent)
	m.deliverTo(absent)
	if rapid.Bool().Draw(m.t, "a new leader") {
		m.failOver()
	}
	m.runWithout(absent, modelLease.Share(rapid.Int64Range(50, 95).Draw(m.t, "share of the lease"), 100))
}

// delayAnswerPastFailover has a leader end while its answer is on its way to a worker. The next leader
// gets a copy of an older report of that worker, and everything else goes on; then the
// answer arrives.
func (m *model) delayAnswerPastFailover() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !m.isUndisturbed(w) {
		return
	}
	copied := w.heartbeat()
	m.advanceWrite() // the names that starts wait for
	m.advanceWrite()
	m.requestAnswer(w)
	m.failOver()
	m.serve(copied)
	m.runWithout(w, workerTimeout-units.Second)
	m.deliverTo(w)
}

// isUndisturbed tells whether a worker is neither waiting for an answer nor in any trouble.
func (m *model) isUndisturbed(w *modelWorker) bool {
	return w.alive && !w.answerAwaited && !w.answersLost && !w.heartbeatsLost && !m.isHanging(w)
}

// requestAnswer has a worker report to the leader at once; the answer is on its way.
func (m *model) requestAnswer(w *modelWorker) {
	w.answerAwaited, w.sentAt, w.heartbeatIncarnation = true, m.clock.Now, w.incarnation
	w.answer = m.serve(w.heartbeat())
}

// runWithout lets a time pass in which all but one worker report and are answered.
func (m *model) runWithout(absent *modelWorker, length units.Micros) {
	const step = 500 * units.Millisecond
	for ends := m.clock.Now + length; m.clock.Now < ends; {
		m.clock.Now += step
		m.advanceWrite()
		m.advanceWrite()
		m.leader.detector.ExpireLeases(m.clock.Now)
		for _, w := range m.workers {
			m.expireLeaseOf(w)
			if w == absent || !w.alive || w.heartbeatsLost || m.isHanging(w) {
				continue
			}
			if w.answerAwaited {
				m.deliverTo(w)
			} else {
				m.heartbeatOf(w)
			}
			m.checkInvariants()
		}
	}
}
