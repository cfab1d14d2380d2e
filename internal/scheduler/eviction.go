package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// evictBeforeTermination stops what would be lost when a machine is taken away, in time for it
// to be saved or begun anew elsewhere.
func (sc *Scheduler) evictBeforeTermination(m *cluster.Machine, now units.Micros) {
	if m.TerminatesAt == 0 && !m.Quarantined {
		return
	}
	left := m.TerminatesAt - now
	report := sc.Settings.Fleet.Workers.Report()
	for _, a := range m.Attempts {
		if a.Stopping {
			continue
		}
		run := sc.State.Outcomes.EstimateRuntime(a.Job)
		if a.RunningSince > 0 {
			run -= now - a.RunningSince
		}
		switch {
		case m.Quarantined, a.Job.IsService():
			// A replica begins elsewhere once this one is gone: the sooner the better.
		case run < left && run > 0: // it will be done in time
			continue
		case a.Job.Spec.CheckpointInterval > 0 && left > a.Job.Spec.CheckpointDuration+3*report: // saving can wait
			continue
		}
		sc.State.StopAttempt(a, a.Job.Spec.CheckpointDuration+units.Second)
		sc.Log.Info("task drained", "task", a.TaskName(), "attempt", a.Number, "machine", m.ID)
	}
}
