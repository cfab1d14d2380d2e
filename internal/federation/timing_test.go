package federation

import (
	"testing"

	"dunestand/internal/units"
)

// The reclaim delay covers clocks that drift apart by the bound, and more.
func TestReclaimDelayCoversDrift(t *testing.T) {
	for _, timing := range []Timing{modelTiming, {Lease: units.Second, StopGrace: 600 * units.Second}} {
		slowest := (timing.Lease + timing.StopGrace).Fraction(1_000_000+maxDriftPPM, 1_000_000)
		if timing.ReclaimDelay() <= slowest {
			t.Errorf("%+v: reclaimed after %d, a slow clock may take %d", timing, timing.ReclaimDelay(), slowest)
		}
		grantor := NewLeaseGrantor(5)
		grantor.recordGrant(7)
		if grantor.Expired(7+slowest, timing) || !grantor.Expired(8+timing.ReclaimDelay(), timing) {
			t.Errorf("%+v: expired at the wrong time", timing)
		}
	}
}
