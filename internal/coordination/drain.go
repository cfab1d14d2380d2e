package coordination

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// drain stops what would be lost when a machine is taken away, in time for it
// to be saved or begun anew elsewhere.
func (t *Term) drain(m *cluster.Machine, now units.Micros) {
	if m.NoticeEnds == 0 && !m.SetAside {
		return
	}
	left := m.NoticeEnds - now
	report := t.Settings.Fleet.Workers.Report()
	for _, a := range m.Attempts {
		if a.Stop {
			continue
		}
		run := t.ledger.Estimate(a.Job)
		if a.RunningSince > 0 {
			run -= now - a.RunningSince
		}
		switch {
		case m.SetAside, a.Job.Service():
			// A replica begins elsewhere once this one is gone: the sooner the better.
		case run < left && run > 0: // it will be done in time
			continue
		case a.Job.Spec.Checkpoint > 0 && left > a.Job.Spec.Save+3*report: // saving can wait
			continue
		}
		t.ledger.Stop(a, a.Job.Spec.Save+units.Second)
		t.Log.Info("task drained", "task", a.Task(), "attempt", a.Number, "machine", m.ID)
	}
}
