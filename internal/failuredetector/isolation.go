package failuredetector

import (
	"dunestand/internal/units"
)

// CheckHeartbeatLoss gives the lease up when none of several machines has been
// heard for so long that it must be this node that is cut off. Another node
// may still reach them before their leases run out. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (d *Detector) CheckHeartbeatLoss(now units.Micros) {
	quiet := d.Settings.Fleet.Workers.Report().Share(3, 2) + heartbeatLossMargin
	// Before the first report the workers have to find this node. Whom to
	// expect, the records say.
	last, known := d.ElectedAt+workerReturnTime, 0
	for _, m := range d.State.Machines {
		if m.Registered && !m.Releasing {
			known++
			last = max(last, m.LastHeartbeat)
		}
	}
	if known == 0 {
		known = d.State.UnreconciledCount()
	}
	if d.State.Restored && known >= 2 && now-last > quiet && now-last < 3*quiet {
		d.Log.Info("no machine reports; the lease is given up", "machines", known, "silent_ms", (now-last)/units.Millisecond)
		d.Leadership.StepDown()
	}
}
