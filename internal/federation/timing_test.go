package federation

import (
	"testing"

	"dunestand/internal/units"
)

// The wait covers clocks that drift apart by the bound, and more.
func TestReclaimDelayCoversDrift(t *testing.T) {
	for _, terms := range []Timing{modelTiming, {Lease: units.Second, StopGrace: 600 * units.Second}} {
		slowest := (terms.Lease + terms.StopGrace).Share(1_000_000+maxDriftPPM, 1_000_000)
		if terms.ReclaimDelay() <= slowest {
			t.Errorf("%+v: certain after %d, a slow clock may take %d", terms, terms.ReclaimDelay(), slowest)
		}
		grantor := NewLeaseGrantor(5)
		grantor.recordGrant(7)
		if grantor.Expired(7+slowest, terms) || !grantor.Expired(8+terms.ReclaimDelay(), terms) {
			t.Errorf("%+v: lapsed at the wrong time", terms)
		}
	}
}
