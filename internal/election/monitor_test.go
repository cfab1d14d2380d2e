package election

import (
	"testing"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// A controller may campaign against another holder only once it has seen the record unchanged for
// the lease, the drift and the margin, and against its own former process, which has ended, at
// once. After an outage it must leave the holder a grace period to renew.
func TestCampaignIsAllowedOnlyForAFreeLease(t *testing.T) {
	m := leaseMonitor{timing: TimingFor(10 * units.Second)}
	due := WithDrift(m.timing.Duration, m.timing.CampaignMargin)
	if m.mayCampaign("me", 0) {
		t.Fatal("may campaign before the first read")
	}
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 5, 100)
	if m.mayCampaign("me", 100+due-1) || !m.mayCampaign("me", 100+due) {
		t.Fatal("may campaign before another holder's lease expired, or may not at expiry")
	}
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+due)
	if m.mayCampaign("me", 100+due) {
		t.Fatal("may campaign right after a renewal")
	}
	// After an outage the holder may renew first: it keeps its token, so that no new leader has
	// to reconcile the machines.
	m.observeFailure()
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+3*due)
	if m.mayCampaign("me", 100+3*due) || !m.mayCampaign("me", 100+3*due+units.Second) {
		t.Fatal("may campaign during the grace period after an outage, or may not after it")
	}
	own := leaseMonitor{timing: m.timing}
	own.observe(storage.LeaseRecord{Holder: "me", Incarnation: 4}, 9, 0)
	if !own.mayCampaign("me", 0) {
		t.Fatal("may not campaign for the lease of its former process")
	}
}
