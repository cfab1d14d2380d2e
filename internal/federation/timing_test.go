package federation

import (
	"testing"

	"dunestand/internal/units"
)

// The reclaim delay exceeds lease and grace period as measured by clocks that drift apart by the
// maximum. Otherwise the origin could restart a job whose tasks still run at the target.
func TestReclaimDelayCoversDrift(t *testing.T) {
	for _, timing := range []Timing{modelTiming, {Lease: units.Second, StopGrace: 600 * units.Second}} {
		slowest := (timing.Lease + timing.StopGrace).Fraction(1_000_000+maxDriftPPM, 1_000_000)
		if timing.ReclaimDelay() <= slowest {
			t.Errorf("%+v: reclaim delay is %d, lease and grace period with drift take %d", timing, timing.ReclaimDelay(), slowest)
		}
		grantor := NewLeaseGrantor(5)
		grantor.recordGrant(7)
		if grantor.Expired(7+slowest, timing) || !grantor.Expired(8+timing.ReclaimDelay(), timing) {
			t.Errorf("%+v: lease expires within the drift bound, or not after the reclaim delay", timing)
		}
	}
}
