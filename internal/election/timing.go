package election

import "dunestand/internal/units"

// LeaseTiming is the pace of the leader lease.
type LeaseTiming struct {
	// Duration is the length of the lease, counted by the holder from when a renewal was
	// sent.
	Duration   units.Micros
	RenewEvery units.Micros
	// PollEvery is the time between two reads by a follower.
	PollEvery units.Micros
	// CampaignMargin is how much longer than the duration, and the drift of clocks, a
	// follower waits until it campaigns.
	CampaignMargin units.Micros
}

// The bounds of the leader lease, and the pace of those who watch it.
const (
	minLeaseDuration  = 3 * units.Second
	maxLeaseDuration  = 5 * units.Second
	leasePollInterval = 400 * units.Millisecond
	campaignMargin    = 300 * units.Millisecond
	// renewalsPerLease is how often the holder renews in the length of a lease.
	renewalsPerLease = 5
	// outageGrace is the time that a holder has to renew once an outage is over.
	outageGrace = 800 * units.Millisecond
	// A follower reads the record more often as its end comes near, no sooner than
	// minLeasePollInterval, and spread over leasePollJitter so that controllers do not race.
	minLeasePollInterval = 20 * units.Millisecond
	leasePollJitter      = 100 * units.Millisecond
)

// TimingFor returns the timing of the leader lease for a length of the workers' lease. The
// loss of a leader costs the leader lease and the workers' way to its successor, all within
// the workers' own lease; a longer leader lease only helps through outages of the key-value
// store, which the workers' lease bridges too.
func TimingFor(workerLease units.Micros) LeaseTiming {
	duration := min(max(workerLease.Fraction(3, 10), minLeaseDuration), maxLeaseDuration)
	return LeaseTiming{
		Duration:       duration,
		RenewEvery:     duration / renewalsPerLease,
		PollEvery:      leasePollInterval,
		CampaignMargin: campaignMargin,
	}
}
