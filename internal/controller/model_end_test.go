package controller

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// drainWithoutFaults ends all faults and continues until every accepted job has had time to
// finish. It checks that every job that was not cancelled is done, every service runs all its
// replicas, and the pending-submission queue is empty.
func (m *model) drainWithoutFaults() {
	m.faultsEnded = true
	for _, worker := range m.workers {
		worker.responsesLost, worker.heartbeatsLost, worker.hungUntil = false, false, 0
	}
	m.finishUpgrade()
	m.commitPendingSubmissions()
	accepted := m.acceptedJobs()
	for range 600 {
		m.stepWithoutFaults()
	}
	if left := m.pendingItems(); len(left) > 0 {
		m.t.Fatalf("%d jobs are still in the pending-submission queue long after the last fault", len(left))
	}
	for id, open := range accepted {
		if open && m.services[id] {
			if running := m.runningTasks(id); running != m.jobs[id] {
				m.t.Fatalf("%d of %d replicas of %s run long after the last fault", running, m.jobs[id], id)
			}
			continue
		}
		if open && m.terminalStages[id] != protocol.StageDone {
			job := m.leader.state.Jobs[id]
			m.t.Fatalf("%s is not done long after the last fault: terminal stage %q, known to the leader %v", id, m.terminalStages[id], job != nil)
		}
	}
}

// acceptedJobs returns the jobs whose acceptance may have been confirmed to a user. The value
// is true for those that are neither cancelled nor in a terminal state.
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

// stepWithoutFaults advances the clock by half a second and performs all actions of the leader
// and the workers that are due.
func (m *model) stepWithoutFaults() {
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
		if worker.responseAwaited && m.clock.Now-worker.sentAt > workerTimeout {
			worker.responseAwaited, worker.response = false, nil
		}
		if !worker.responseAwaited {
			m.sendHeartbeat(worker)
		}
		m.deliverResponse(worker)
		m.endRunningTask(worker)
		m.checkInvariants()
	}
}
