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
		t.Errorf("estimate after too few tasks is %v s, want 10 s", got.Seconds())
	}
	e.Observe("loomplan", 10*units.Second, 1000*units.Second) // above maxRatio: clamped, not dropped
	e.Observe("loomplan", 0, units.Second)
	if got := e.Corrected("loomplan", 30*units.Second).Seconds(); got < 59.9 || got > 60.1 {
		t.Errorf("estimate of 30 s is corrected to %v s for tasks that take twice as long", got)
	}
	if got := e.Corrected("rushorder", units.Second); got != units.Second {
		t.Errorf("estimate of a class without observations is corrected to %v s, want 1 s", got.Seconds())
	}
}
