package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

const (
	// evictionGraceMargin is added to a job's checkpoint duration to give the grace period of
	// an evicted task.
	evictionGraceMargin = units.Second
	// evictionLeadHeartbeats is the lead time of an eviction in heartbeat intervals: a task is
	// evicted this long before the last time at which its checkpoint can begin, since the
	// response to a heartbeat carries the stop command.
	evictionLeadHeartbeats = 3
)

// evictBeforeTermination stops the tasks that would be lost when a machine terminates, early
// enough for a checkpoint or a start elsewhere. It stops all tasks on a quarantined machine at
// once.
func (sc *Scheduler) evictBeforeTermination(m *cluster.Machine, now units.Micros) {
	if m.TerminatesAt == 0 && !m.Quarantined {
		return
	}
	for _, attempt := range m.Attempts {
		if attempt.Stopping || sc.evictionCanWait(attempt, now) {
			continue
		}
		sc.State.StopAttempt(attempt, attempt.Job.Spec.CheckpointDuration+evictionGraceMargin)
		sc.Log.Info("task evicted", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", m.ID)
	}
}

// evictionCanWait reports whether a task on a machine that is quarantined or about to
// terminate need not be stopped yet.
func (sc *Scheduler) evictionCanWait(attempt *cluster.Attempt, now units.Micros) bool {
	if attempt.Machine.Quarantined || attempt.Job.IsService() {
		// The replacement starts only once this replica has stopped, so stop it at once.
		return false
	}
	timeLeft := attempt.Machine.TerminatesAt - now
	remaining := sc.State.Outcomes.EstimateRuntime(attempt.Job)
	if attempt.RunningSince > 0 {
		remaining -= now - attempt.RunningSince
	}
	if remaining > 0 && remaining < timeLeft {
		return true // expected to complete before the machine terminates
	}
	spec := &attempt.Job.Spec
	heartbeatInterval := sc.Settings.Fleet.Workers.HeartbeatInterval()
	return spec.CheckpointInterval > 0 && timeLeft > spec.CheckpointDuration+evictionLeadHeartbeats*heartbeatInterval
}
