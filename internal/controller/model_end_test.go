package controller

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// endFaults ends all faults and plays on until every accepted job that was not
// cancelled is done. No job may be forgotten, and none may wait for ever.
func (m *model) endFaults() {
	m.faultsEnded = true
	for _, worker := range m.workers {
		worker.answersLost, worker.heartbeatsLost, worker.hungUntil = false, false, 0
	}
	m.finishUpgrade()
	m.landPending()
	accepted := m.acceptedJobs()
	for range 600 {
		m.playWithoutFaults()
	}
	if left := m.pendingItems(); len(left) > 0 {
		m.t.Fatalf("%d jobs are in the pending-submission queue long after all faults", len(left))
	}
	for id, open := range accepted {
		if open && m.services[id] {
			if running := m.runningTasks(id); running != m.jobs[id] {
				m.t.Fatalf("%d of %d replicas of %s run long after all faults", running, m.jobs[id], id)
			}
			continue
		}
		if open && m.terminalStages[id] != protocol.StageDone {
			job := m.leader.state.Jobs[id]
			m.t.Fatalf("%s is not done long after all faults: terminal stage %q, known %v", id, m.terminalStages[id], job != nil)
		}
	}
}

// acceptedJobs returns the jobs that a user may have been told of; true for those that are
// neither cancelled nor in a terminal state.
func (m *model) acceptedJobs() map[string]bool {
	accepted := map[string]bool{}
	for _, item := range m.pendingItems() {
		pending, _ := cluster.ParsePendingSubmission(item)
		accepted[pending.Spec.ID] = m.terminalStages[pending.Spec.ID] == "" && m.leader.state.Jobs[pending.Spec.ID] == nil
	}
	for id, job := range m.leader.state.Jobs {
		accepted[id] = (job.Accepted() || accepted[id]) && !job.Cancelled
	}
	return accepted
}

// playWithoutFaults lets half a second pass in which everybody does what is due.
func (m *model) playWithoutFaults() {
	m.clock.Now += 500 * units.Millisecond
	m.ingestPending()
	for range 4 {
		m.advanceWrite()
	}
	m.leader.detector.ExpireWorkerLeases(m.clock.Now)
	m.expireLeases()
	for i, worker := range m.workers {
		if machine := m.leader.state.Machines[worker.id]; machine != nil && (machine.Quarantined || machine.UndeliveredCommands >= cluster.MaxUndeliveredCommands) {
			m.releaseWorker(i)
			continue
		}
		if worker.answerAwaited && m.clock.Now-worker.sentAt > workerTimeout {
			worker.answerAwaited, worker.answer = false, nil
		}
		if !worker.answerAwaited {
			m.sendHeartbeat(worker)
		}
		m.deliverTo(worker)
		m.workOn(worker)
		m.checkInvariants()
	}
}
