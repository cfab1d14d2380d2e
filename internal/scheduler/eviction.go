package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

const (
	// evictionGraceMargin is the grace period of a task that is evicted, beyond the time that
	// its owner states for a checkpoint.
	evictionGraceMargin = units.Second
	// evictionLeadHeartbeats is how many heartbeat intervals before the last moment for a
	// checkpoint a task is evicted: the stop command travels with a heartbeat's response.
	evictionLeadHeartbeats = 3
)

// evictBeforeTermination stops the tasks that would be lost when a machine is taken away, in
// time for a checkpoint or a start elsewhere. A quarantined machine is emptied at once.
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

// evictionCanWait reports whether a task need not be stopped yet on a machine that is
// quarantined or to be taken away.
func (sc *Scheduler) evictionCanWait(attempt *cluster.Attempt, now units.Micros) bool {
	if attempt.Machine.Quarantined || attempt.Job.IsService() {
		// A replica starts elsewhere once this one is gone: the sooner the better.
		return false
	}
	timeLeft := attempt.Machine.TerminatesAt - now
	remaining := sc.State.Outcomes.EstimateRuntime(attempt.Job)
	if attempt.RunningSince > 0 {
		remaining -= now - attempt.RunningSince
	}
	if remaining > 0 && remaining < timeLeft {
		return true // it ends by itself in time
	}
	spec := &attempt.Job.Spec
	heartbeatInterval := sc.Settings.Fleet.Workers.HeartbeatInterval()
	return spec.CheckpointInterval > 0 && timeLeft > spec.CheckpointDuration+evictionLeadHeartbeats*heartbeatInterval
}
