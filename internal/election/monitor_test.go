package election

import (
	"testing"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Another controller's lease is free once its record was unchanged for the whole lease, a
// resigned one or one of a former process at once, and none before the holder had its chance
// after an outage.
func TestLeaseMonitorAllowsCampaign(t *testing.T) {
	m := leaseMonitor{timing: TimingFor(10 * units.Second)}
	due := WithDrift(m.timing.Duration, m.timing.CampaignMargin)
	if m.mayCampaign("me", 0) {
		t.Fatal("free before anything was read")
	}
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 5, 100)
	if m.mayCampaign("me", 100+due-1) || !m.mayCampaign("me", 100+due) {
		t.Fatal("another's lease is free when the record was seen unchanged for the lease and its margin, and no sooner")
	}
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+due)
	if m.mayCampaign("me", 100+due) {
		t.Fatal("a renewal starts the wait anew")
	}
	// After an outage the holder goes first: it keeps its token, and nothing has to be
	// reconciled.
	m.observeFailure()
	m.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+3*due)
	if m.mayCampaign("me", 100+3*due) || !m.mayCampaign("me", 100+3*due+units.Second) {
		t.Fatal("no grace for the holder after an outage")
	}
	own := leaseMonitor{timing: m.timing}
	own.observe(storage.LeaseRecord{Holder: "me", Incarnation: 4}, 9, 0)
	if !own.mayCampaign("me", 0) {
		t.Fatal("a controller's former process is dead; its lease is free at once")
	}
}
