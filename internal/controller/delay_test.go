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
	term, clock := leaderWithJob(t, 1)
	report := func(from, to int, seq uint64) {
		for i := from; i < to; i++ {
			term.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i), 1, seq, 7), clock.Now)
		}
	}
	report(0, 30, 1)
	clock.Now += 20 * units.Second
	term.detector.NoteDelay(clock.Now)
	report(0, 25, 2)
	if silent := term.detector.LostMachines(clock.Now); len(silent) != 0 {
		t.Errorf("to be released: %v", silent)
	}
	clock.Now += term.detector.SuspectAfter() + units.Second
	report(0, 29, 3)
	if silent := term.detector.LostMachines(clock.Now); len(silent) != 1 || !silent["i-000029"] {
		t.Errorf("to be released after a while: %v", silent)
	}
}
