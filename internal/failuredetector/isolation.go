package failuredetector

import "dunestand/internal/units"

const (
	heartbeatLossMargin = 1200 * units.Millisecond // added to one and a half heartbeat intervals
	firstHeartbeatTime  = 4 * units.Second         // for workers to find a new leader after the election
	// minIsolationMachines is the number of machines from which a loss of all heartbeats is
	// attributed to this controller and not to the machines.
	minIsolationMachines = 2
	// maxSilenceMultiple limits the silence that counts, as a multiple of the minimum: machines
	// that have been silent for longer are no evidence that this controller is isolated.
	maxSilenceMultiple = 3
)

// CheckHeartbeatLoss steps down if several machines are expected and heartbeats of all of them are
// missing for so long that this controller must be isolated. Another controller may then still reach
// the machines before their leases expire. The caller must not delay the check by an operation that
// the same network partition can block, such as a call to the cloud.
func (d *Detector) CheckHeartbeatLoss(now units.Micros) {
	minSilence := d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(3, 2) + heartbeatLossMargin
	// After the election, workers first have to find this controller. Until one has registered,
	// the records show how many machines to expect.
	lastHeartbeat, expected := d.ElectedAt+firstHeartbeatTime, 0
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
	if d.State.Restored && expected >= minIsolationMachines && silence > minSilence && silence < maxSilenceMultiple*minSilence {
		d.Log.Info("no heartbeat from any machine; stepping down", "machines", expected, "silent_ms", silence/units.Millisecond)
		d.Leadership.StepDown()
	}
}
