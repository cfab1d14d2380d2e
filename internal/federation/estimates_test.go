package federation

import (
	"testing"

	"dunestand/internal/units"
)

func TestEstimatesAreCorrectedByRunTimes(t *testing.T) {
	e := NewEstimateCorrection()
	for range minRatioSamples - 1 {
		e.Observe("loomplan", 10*units.Second, 20*units.Second)
	}
	if got := e.Corrected("loomplan", 10*units.Second); got != 10*units.Second {
		t.Errorf("after too few tasks: %v s", got.Seconds())
	}
	e.Observe("loomplan", 10*units.Second, 1000*units.Second) // beyond the range, not lost
	e.Observe("loomplan", 0, units.Second)
	if got := e.Corrected("loomplan", 30*units.Second).Seconds(); got < 59.9 || got > 60.1 {
		t.Errorf("tasks that take twice as long: %v s for 30 s", got)
	}
	if got := e.Corrected("rushorder", units.Second); got != units.Second {
		t.Errorf("of another class: %v s", got.Seconds())
	}
}
