package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/units"
)

// A leader that stood still, or cannot keep up, finds reports that have waited
// for it. It must not take the machines that it gets to last for silent, and give
// them away.
func TestDelayedLeaderSuspectsNoMachine(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	reconcile := func(from, to int, sequence uint64) {
		for i := from; i < to; i++ {
			leader.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i), 1, sequence, 7), clock.Now)
		}
	}
	reconcile(0, 30, 1)
	clock.Now += 20 * units.Second
	leader.detector.NoteDelay(clock.Now)
	reconcile(0, 25, 2)
	if lost := leader.detector.LostMachines(clock.Now); len(lost) != 0 {
		t.Errorf("to be released: %v", lost)
	}
	clock.Now += leader.detector.SuspectAfter() + units.Second
	reconcile(0, 29, 3)
	if lost := leader.detector.LostMachines(clock.Now); len(lost) != 1 || !lost["i-000029"] {
		t.Errorf("to be released after a while: %v", lost)
	}
}
