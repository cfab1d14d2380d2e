package election

import "dunestand/internal/units"

// LeaseTiming holds the duration and the intervals of the leader lease.
type LeaseTiming struct {
	// Duration is the length of the lease, counted by the holder from the moment at which it
	// sent the renewal.
	Duration units.Micros
	// RenewEvery is the time between two renewals by the holder.
	RenewEvery units.Micros
	// PollEvery is the longest time between two reads by a follower, before jitter.
	PollEvery units.Micros
	// CampaignMargin is added to the duration and the clock drift for which a follower must see
	// the record unchanged before it campaigns.
	CampaignMargin units.Micros
}

// Limits and intervals of the leader lease.
const (
	minLeaseDuration  = 3 * units.Second
	maxLeaseDuration  = 5 * units.Second
	leasePollInterval = 400 * units.Millisecond
	campaignMargin    = 300 * units.Millisecond
	// renewalsPerLease is the number of renewals by the holder per lease duration.
	renewalsPerLease = 5
	// outageGrace is the grace period in which the holder may renew once an outage is over.
	outageGrace = 800 * units.Millisecond
	// minLeasePollInterval is the shortest time between two reads by a follower, which polls
	// faster near the end of the lease.
	minLeasePollInterval = 20 * units.Millisecond
	// leasePollJitter is the range of the random delay that is added to each poll interval, so
	// that controllers do not campaign at the same moment.
	leasePollJitter = 100 * units.Millisecond
)

// TimingFor returns the timing of the leader lease for the duration of a worker lease. After
// the loss of a leader, its lease must expire and the workers must reach the new leader, all
// within the worker lease. A longer leader lease would only help to survive outages of the
// key-value store, which the worker lease survives as well.
func TimingFor(workerLease units.Micros) LeaseTiming {
	duration := min(max(workerLease.Fraction(3, 10), minLeaseDuration), maxLeaseDuration)
	return LeaseTiming{
		Duration:       duration,
		RenewEvery:     duration / renewalsPerLease,
		PollEvery:      leasePollInterval,
		CampaignMargin: campaignMargin,
	}
}
