package failuredetector

import "dunestand/internal/units"

const (
	heartbeatLossMargin = 1200 * units.Millisecond // beyond one and a half heartbeat intervals
	workerReturnTime    = 4 * units.Second         // for workers to find a new leader
	// minIsolationMachines is how many machines there must be to blame this controller when
	// none of them is heard.
	minIsolationMachines = 2
	// isolationWindow bounds the silence that is judged, in times of the shortest one that is:
	// machines that have been silent for longer say nothing about this controller.
	isolationWindow = 3
)

// CheckHeartbeatLoss steps down when no heartbeat of several machines has
// arrived for so long that it must be this controller that is cut off. Another one
// may still reach them before their leases expire. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (d *Detector) CheckHeartbeatLoss(now units.Micros) {
	quiet := d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(3, 2) + heartbeatLossMargin
	// Before the first heartbeat the workers have to find this controller. Whom to
	// expect, the records say.
	lastHeartbeat, expected := d.ElectedAt+workerReturnTime, 0
	for _, m := range d.State.Machines {
		if m.Registered && !m.Releasing {
			expected++
			lastHeartbeat = max(lastHeartbeat, m.LastHeartbeat)
		}
	}
	if expected == 0 {
		expected = d.State.Unreconciled.Len()
	}
	silence := now - lastHeartbeat
	if d.State.Restored && expected >= minIsolationMachines && silence > quiet && silence < isolationWindow*quiet {
		d.Log.Info("no heartbeat from any machine; stepping down", "machines", expected, "silent_ms", silence/units.Millisecond)
		d.Leadership.StepDown()
	}
}
