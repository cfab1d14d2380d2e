package coordination

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// drain stops what would be lost when a machine is taken away, in time for it
// to be saved or begun anew elsewhere.
func (t *Term) drain(m *cluster.Machine, now units.Micros) {
	if m.TerminatesAt == 0 && !m.Quarantined {
		return
	}
	left := m.TerminatesAt - now
	report := t.Settings.Fleet.Workers.Report()
	for _, a := range m.Attempts {
		if a.Stopping {
			continue
		}
		run := t.ledger.EstimateRuntime(a.Job)
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
		t.ledger.StopAttempt(a, a.Job.Spec.CheckpointDuration+units.Second)
		t.Log.Info("task drained", "task", a.TaskName(), "attempt", a.Number, "machine", m.ID)
	}
}
