package failuredetector

import (
	"dunestand/internal/units"
)

// ExpireLeases gives up what silent machines held once their leases have run out.
func (d *Detector) ExpireLeases(now units.Micros) {
	lease := d.WorkerLease()
	for _, m := range d.State.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, d.ElectedAt) >= lease {
			d.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			m.MayHoldCancelled = m.MayHoldCancelled || d.State.HoldsCancelled(m.ID)
			d.State.MachineEmptied(m, now)
		}
	}
	if !d.allReconciled && d.State.Restored && now-d.ElectedAt >= lease {
		// What a former leader started is over everywhere, but on machines that
		// accepted an answer of this one since: and these have told what they hold,
		// as an answer is accepted only to the newest report. A machine that hears
		// no answer would otherwise stay unconfirmed for as long as it reports.
		for _, id := range d.State.UnreconciledMachines() {
			d.State.MarkReconciled(id)
		}
	}
	if !d.allReconciled && d.State.Restored && d.State.UnreconciledCount() == 0 {
		d.allReconciled = true
		d.Log.Info("all machines confirmed", "after_ms", (now-d.ElectedAt)/units.Millisecond)
	}
	for _, j := range d.State.Jobs {
		if j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0 && j.CancelDurable && !j.WritePending() {
			j.MarkChanged(now, true)
			d.WriteSignal.Raise()
		}
	}
}
