package election

import (
	"dunestand/internal/config"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// LeaseTiming is the pace of the fleet lease.
type LeaseTiming struct {
	Duration    units.Micros // counted by the holder from when a renewal was sent
	RenewEvery  units.Micros
	PollEvery   units.Micros
	ClaimMargin units.Micros // a claimer waits this much longer than the length
}

// clockDriftPPM is how far apart two steady clocks can run, in millionths: each is
// off by up to 0.05%.
const clockDriftPPM = 1000

// WithDrift is how long to wait by our clock so that a length has passed by
// any other.
func WithDrift(length, margin units.Micros) units.Micros {
	return length + length*clockDriftPPM/1_000_000 + margin
}

// workerLeaseMargin covers what a report and its answer take on their way.
const workerLeaseMargin = 500 * units.Millisecond

// WorkerLeaseBound is how long a machine's tasks may go on after its last answered report
// came in here, by any clock.
func WorkerLeaseBound(w config.Workers) units.Micros { return WithDrift(w.Lease(), workerLeaseMargin) }

// ConfirmsCancellationAtOnce tells whether a user may be told of a cancellation as soon as it is
// durable. From then on every controller that prolongs a worker's lease knows of it:
// the leader that stored it had noted it before, former ones have no lease any more,
// and later ones answer no worker before they have read the records. So what no
// command reaches ends with the worker's lease, and that must be within cancel_s.
// Otherwise the user is told once nothing of the job is left on any machine.
func ConfirmsCancellationAtOnce(w config.Workers) bool { return WorkerLeaseBound(w) <= w.Cancel() }

// The pace of the fleet lease: its length is a share of the workers' lease within bounds.
const (
	minLeaseDuration  = 3 * units.Second
	maxLeaseDuration  = 5 * units.Second
	leasePollInterval = 400 * units.Millisecond
	claimMargin       = 300 * units.Millisecond
	// outageGrace is the time that a holder has to renew once an outage is over.
	outageGrace = 800 * units.Millisecond
	// A follower reads the record more often as its end comes near, no sooner than
	// minLeasePollInterval, and spread over leasePollJitter so that nodes do not race.
	minLeasePollInterval = 20 * units.Millisecond
	leasePollJitter      = 100 * units.Millisecond
)

// TimingFor chooses the lease's pace. A leader's loss costs the lease and the
// workers' way to its successor, all within the workers' own lease; a longer
// fleet lease only helps through outages of the state service, which the
// workers' lease bridges too.
func TimingFor(workerLease units.Micros) LeaseTiming {
	length := min(max(workerLease.Share(3, 10), minLeaseDuration), maxLeaseDuration)
	return LeaseTiming{
		Duration:    length,
		RenewEvery:  length / 5,
		PollEvery:   leasePollInterval,
		ClaimMargin: claimMargin,
	}
}

// leaseMonitor is a follower's view of the fleet lease record. It never compares
// clocks of different machines: what counts is for how long this node itself
// has seen the record unchanged.
type leaseMonitor struct {
	timing         LeaseTiming
	record         storage.LeaseRecord
	version        uint64
	seen           bool
	unchangedSince units.Micros // when this version was first seen
	graceUntil     units.Micros // after an outage the holder may go first
	readFailed     bool         // the last read failed
}

// observe takes in a read that was answered at now.
func (w *leaseMonitor) observe(record storage.LeaseRecord, version uint64, now units.Micros) {
	if w.readFailed {
		w.readFailed, w.graceUntil = false, now+outageGrace
	}
	if !w.seen || version != w.version {
		w.seen, w.record, w.version, w.unchangedSince = true, record, version, now
	}
}

// observeFailure takes in a read that was not answered.
func (w *leaseMonitor) observeFailure() { w.readFailed = true }

// claimable tells whether the record may be claimed: there is none, its
// holder gave it up or was this node's former process, or it has not changed
// for the whole lease.
func (w *leaseMonitor) claimable(self string, now units.Micros) bool {
	switch {
	case !w.seen || w.readFailed || now < w.graceUntil:
		return false
	case w.version == 0 || w.record.Resigned || w.record.Holder == self:
		return true
	}
	return now-w.unchangedSince >= WithDrift(w.timing.Duration, w.timing.ClaimMargin)
}
