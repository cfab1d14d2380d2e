package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A zone that is cut off falls silent as a whole while the rest of the fleet,
// which is much larger, reports. It must not be released: its machines work on
// and are back after the cut. A single machine of another zone is released.
func TestCutZoneIsKept(t *testing.T) {
	term, clock := leaderWithJob(t, 1)
	report := func(seq uint64, skip func(i int) bool) {
		for i := range 40 {
			r := testHeartbeat(fmt.Sprintf("i-%06d", i), 1, seq, 7)
			if i < 8 {
				r.Zone = "cut"
			}
			if !skip(i) {
				term.reconciler.Reconcile(r, clock.Now)
			}
		}
	}
	report(1, func(int) bool { return false })
	for seq := uint64(2); seq < 8; seq++ {
		clock.Now += units.Second
		report(seq, func(i int) bool { return i < 8 || i == 20 })
	}
	silent := term.detector.LostMachines(clock.Now)
	if len(silent) != 1 || !silent["i-000020"] {
		t.Fatalf("to be released: %v", silent)
	}
}

// A leader that begins while a zone is cut off knows the zone's machines from
// the cloud's list alone. They run: on a day of our own 147 of them were given
// away, as if they had never come up.
func TestZoneWithoutHeartbeatsIsKept(t *testing.T) {
	term, clock := leaderWithJob(t, 1)
	for i, stage := range []protocol.MachineStage{protocol.MachineRunning, protocol.MachineRunning, protocol.MachineBooting} {
		m := term.state.EnsureMachine(fmt.Sprintf("i-%06d", i), "m", "cut", false, clock.Now-500*units.Second)
		m.Stage = stage
	}
	clock.Now += 90 * units.Second
	if names := term.autoscaler.MachinesToRelease(clock.Now); len(names) != 1 || names[0] != "i-000002" {
		t.Errorf("to be released: %v", names)
	}
	clock.Now += 200 * units.Second
	if names := term.autoscaler.MachinesToRelease(clock.Now); len(names) != 3 {
		t.Errorf("to be released at last: %v", names)
	}
}

// Where reports come seldom, a machine that died is noticed by the first report
// that it misses, and one whose report merely got no answer is not given away:
// it waits 4 s, and comes back a second later. On a day of the fleet's, tasks of
// 75 dead machines waited for 15 s before they started elsewhere.
func TestSuspicionWithLongHeartbeatIntervals(t *testing.T) {
	for _, seconds := range []float64{3, 5, 10, 30} {
		term, clock := leaderWithJob(t, 1)
		term.Settings.Fleet.Workers.ReportS = seconds
		gap := units.Seconds(seconds).Share(5, 4)
		for i := range 5 {
			term.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 1, 7), clock.Now)
		}
		clock.Now += gap + 5*units.Second
		for i := range 4 {
			term.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 2, 7), clock.Now)
		}
		if len(term.detector.LostMachines(clock.Now)) != 0 {
			t.Errorf("reports every %v s: one that got no answer counts as silence", seconds)
		}
		clock.Now += 1100 * units.Millisecond
		if silent := term.detector.LostMachines(clock.Now); !silent["i-000004"] || len(silent) != 1 {
			t.Errorf("reports every %v s: silent are %v", seconds, silent)
		}
	}
}
