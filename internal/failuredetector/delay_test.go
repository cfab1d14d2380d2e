package failuredetector

import (
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// A pause now and then, as long as it may be, is no reason to hand the lease
// over; being late all the time is, within a few seconds.
func TestLastingDelayIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var monitor delayMonitor
		now := 100 * units.Second
		for range rapid.IntRange(1, 20).Draw(t, "pauses") {
			late := units.Micros(rapid.IntRange(0, 2000).Draw(t, "pause")) * units.Millisecond
			now += delayTick + late
			if monitor.observe(late, now) {
				t.Fatal("one pause is taken for falling behind")
			}
			for range 24 { // and then on time
				now += delayTick
				if monitor.observe(0, now) {
					t.Fatal("one pause is taken for falling behind")
				}
			}
		}
		late := units.Micros(rapid.IntRange(800, 4000).Draw(t, "late")) * units.Millisecond
		began := now
		for !monitor.observe(late, now) {
			if now += delayTick + late; now-began > 30*units.Second {
				t.Fatalf("late by %v all the time, and not noticed", late)
			}
		}
	})
}
