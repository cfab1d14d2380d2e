package failuredetector

import (
	_ "dunestand/internal/standin/fixedseed"
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
