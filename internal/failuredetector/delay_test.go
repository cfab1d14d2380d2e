package failuredetector

import (
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// Single pauses, however long, do not count as overload. A lasting delay does within 30 s.
func TestLastingDelayIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var monitor delayMonitor
		now := 100 * units.Second
		for range rapid.IntRange(1, 20).Draw(t, "pauses") {
			late := units.Micros(rapid.IntRange(0, 2000).Draw(t, "pause")) * units.Millisecond
			now += delayCheckInterval + late
			if monitor.observe(late, now) {
				t.Fatal("single pause detected as a lasting delay")
			}
			for range 24 { // timers on time between the pauses
				now += delayCheckInterval
				if monitor.observe(0, now) {
					t.Fatal("single pause detected as a lasting delay")
				}
			}
		}
		late := units.Micros(rapid.IntRange(800, 4000).Draw(t, "late")) * units.Millisecond
		began := now
		for !monitor.observe(late, now) {
			if now += delayCheckInterval + late; now-began > 30*units.Second {
				t.Fatalf("lasting delay of %v not detected", late)
			}
		}
	})
}
