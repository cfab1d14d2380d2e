package autoscaler

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A machine that is not idle is released if it is quarantined, lost, or did not boot or register
// in time, and otherwise kept.
func TestOnlyUnhealthyMachinesAreReleased(t *testing.T) {
	const never = releaseReason("")
	for _, c := range []struct {
		name   string
		change func(m *cluster.Machine)
		lost   bool
		after  units.Micros // since the launch of the machine and the election of the leader
		want   releaseReason
	}{
		{"healthy", func(m *cluster.Machine) { m.Registered = true }, false, 1000 * units.Second, never},
		{"quarantined", func(m *cluster.Machine) { m.Registered, m.Quarantined = true, true }, false, units.Second, releaseQuarantined},
		{"lost", func(m *cluster.Machine) { m.Registered = true }, true, units.Second, releaseLost},
		{"booting", func(m *cluster.Machine) { m.Stage = protocol.MachineBooting }, false, 60 * units.Second, never},
		{"booting for too long", func(m *cluster.Machine) { m.Stage = protocol.MachineBooting }, false, 61 * units.Second, releaseBootTimeout},
		{"running without a heartbeat", func(m *cluster.Machine) { m.Stage = protocol.MachineRunning }, false, 61 * units.Second, never},
		{"running without a heartbeat for too long", func(m *cluster.Machine) { m.Stage = protocol.MachineRunning }, false, 200 * units.Second, releaseLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			as, clock := newTestAutoscaler(1)
			m := as.State.EnsureMachine("i-000001", "m", "a", false, clock.Now)
			c.change(m)
			got, release := as.releaseReason(m, map[string]bool{m.ID: c.lost}, clock.Now+c.after)
			if got != c.want || release != (c.want != never) {
				t.Errorf("reason %q, release %v, want %q", got, release, c.want)
			}
		})
	}
}
