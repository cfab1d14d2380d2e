package coordination

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// A pause now and then, as long as it may be, is no reason to hand the lease
// over; being late all the time is, within a few seconds.
func TestLastingDelayIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w delayMonitor
		now := 100 * units.Second
		for range rapid.IntRange(1, 20).Draw(t, "pauses") {
			by := units.Micros(rapid.IntRange(0, 2000).Draw(t, "pause")) * units.Millisecond
			now += delayTick + by
			if w.observe(by, now) {
				t.Fatal("one pause is taken for falling behind")
			}
			for range 24 { // and then on time
				now += delayTick
				if w.observe(0, now) {
					t.Fatal("one pause is taken for falling behind")
				}
			}
		}
		by := units.Micros(rapid.IntRange(800, 4000).Draw(t, "late by")) * units.Millisecond
		began := now
		for !w.observe(by, now) {
			if now += delayTick + by; now-began > 30*units.Second {
				t.Fatalf("late by %v all the time, and not noticed", by)
			}
		}
	})
}

// holdingElector is an elector that holds the lease.
func holdingElector(token uint64, clock units.Clock) *Elector {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	e := NewElector("n", nil, clock, TimingFor(modelLease), rand.New(rand.NewPCG(1, token)), log)
	e.leading, e.token, e.validUntil = true, token, 1<<60
	return e
}

// The lease is handed over once in a while at most, whoever holds it: the time
// of the last hand-over goes with the record.
func TestLeaseIsNotHandedOverRepeatedly(t *testing.T) {
	clock := &manualClock{now: 1000 * units.Second}
	lease := holdingElector(1, clock)
	if !lease.HandOver(clock.now) || lease.Valid(1) {
		t.Fatal("not handed over")
	}
	next := holdingElector(2, clock)
	next.handedOverAt = lease.handedOverAt // as read from the record
	clock.now += handOverInterval - units.Second
	if next.HandOver(clock.now) || !next.Valid(2) {
		t.Error("handed over again at once")
	}
	clock.now += 2 * units.Second
	if !next.HandOver(clock.now) {
		t.Error("not handed over long after")
	}
}

// A leader that stood still, or cannot keep up, finds reports that have waited
// for it. It must not take the machines that it gets to last for silent, and give
// them away.
func TestDelayedLeaderSuspectsNoMachine(t *testing.T) {
	term, clock := leaderWithJob(t, 1)
	report := func(from, to int, seq uint64) {
		for i := from; i < to; i++ {
			term.reconciler.reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i), 1, seq, 7), clock.now)
		}
	}
	report(0, 30, 1)
	clock.now += 20 * units.Second
	term.detector.noteDelay(clock.now)
	report(0, 25, 2)
	if silent := term.detector.lostMachines(clock.now); len(silent) != 0 {
		t.Errorf("to be released: %v", silent)
	}
	clock.now += term.detector.suspectAfter() + units.Second
	report(0, 29, 3)
	if silent := term.detector.lostMachines(clock.now); len(silent) != 1 || !silent["i-000029"] {
		t.Errorf("to be released after a while: %v", silent)
	}
}
