package election

import (
	"context"
	"errors"

	"dunestand/internal/kv"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// observation is a follower's view of the leader lease after one read of its record.
type observation struct {
	record       storage.LeaseRecord
	version      uint64       // of the record; 0 if there is none
	unchangedFor units.Micros // time since this controller first read this version
	mayCampaign  bool
}

// watch reads the lease record once, and campaigns if the lease is free. It returns the delay
// until the next step.
func (e *Elector) watch(ctx context.Context) units.Micros {
	record, version, err := e.readRecord(ctx)
	if err != nil {
		e.observeFailure(err)
		return e.timing.PollEvery
	}
	seen := e.observe(record, version)
	if !seen.mayCampaign {
		return e.pollDelay(seen.unchangedFor)
	}
	// A controller that receives no messages lets the others campaign first: it may be
	// partitioned from the workers, and could not do a leader's work.
	if seen.version != 0 && !e.Connected() && seen.unchangedFor < e.disconnectedCampaignDelay(seen.record.Holder) {
		return leasePollJitter
	}
	return e.campaign(ctx, seen.record, seen.version)
}

// observe records the result of a successful read of the lease record and returns the
// follower's updated view of the lease.
func (e *Elector) observe(record storage.LeaseRecord, version uint64) observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Steady()
	e.answeredAt = now
	e.monitor.observe(record, version, now)
	return observation{
		record:       e.monitor.record,
		version:      e.monitor.version,
		unchangedFor: now - e.monitor.unchangedSince,
		mayCampaign: e.monitor.mayCampaign(e.name, now) && now >= e.campaignAfter &&
			(e.Eligible == nil || e.Eligible()),
	}
}

// observeFailure records that a read of the lease record failed with err.
func (e *Elector) observeFailure(err error) {
	e.mu.Lock()
	e.monitor.observeFailure()
	e.mu.Unlock()
	if !storeUnavailable(err) {
		e.log.Error("failed to read leader lease", "error", err)
	}
}

// pollDelay returns the delay until a follower reads the record again: shorter near the end of
// the lease, and with jitter so that controllers do not campaign at the same moment.
func (e *Elector) pollDelay(unchangedFor units.Micros) units.Micros {
	remaining := WithDrift(e.timing.Duration, e.timing.CampaignMargin) - unchangedFor
	jitter := units.Micros(e.random.Int64N(int64(leasePollJitter)))
	return max(minLeasePollInterval, min(e.timing.PollEvery, remaining)) + jitter
}

// disconnectedCampaignDelay returns how long the record must have been unchanged before a
// controller that receives no messages campaigns: longer if another controller held the lease.
func (e *Elector) disconnectedCampaignDelay(holder string) units.Micros {
	if holder == e.name {
		return e.timing.Duration
	}
	return 3 * e.timing.Duration
}

// campaign tries to win the lease by a compare-and-swap that raises the incarnation by one.
// The lease starts when the write is sent, as with a renewal.
func (e *Elector) campaign(ctx context.Context, old storage.LeaseRecord, version uint64) units.Micros {
	e.mu.Lock()
	record := storage.LeaseRecord{
		Holder:       e.name,
		Incarnation:  old.Incarnation + 1,
		WriteID:      e.nextWriteID(),
		HandedOverAt: old.HandedOverAt,
	}
	sentAt := e.clock.Steady()
	e.mu.Unlock()
	newVersion, ours, err := e.compareAndSwap(ctx, record, version)
	if err != nil || !ours {
		return leaseRetryDelay
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading, e.steppingDown = true, false
	e.token, e.recordVersion, e.handedOverAt = record.Incarnation, newVersion, record.HandedOverAt
	e.validUntil = sentAt + e.timing.Duration
	e.log.Info("leader lease acquired", "token", e.token, "from", old.Holder,
		"version", newVersion, "valid_ms", (e.validUntil-e.clock.Steady())/units.Millisecond)
	return e.timing.RenewEvery
}

// storeUnavailable reports whether err means only that the key-value store refused the request
// or did not answer it, as it does during an outage. Such errors are not logged.
func storeUnavailable(err error) bool {
	return errors.Is(err, kv.ErrRefused) || errors.Is(err, kv.ErrOutcomeUnknown)
}
