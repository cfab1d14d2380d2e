package election

import (
	"context"
	"errors"

	"dunestand/internal/kv"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// observation is what a follower knows after a read of the lease record.
type observation struct {
	record       storage.LeaseRecord
	version      uint64       // 0: there is no record
	unchangedFor units.Micros // for how long this controller has seen it at this version
	mayCampaign  bool
}

// watch reads the lease record once, and campaigns if the lease is free. It returns the time
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
	// A controller that hears nobody leaves the lease to the others for a while: it may be
	// cut off, and could do nothing with the lease.
	if seen.version != 0 && !e.Connected() && seen.unchangedFor < e.disconnectedPatience(seen.record.Holder) {
		return leasePollJitter
	}
	return e.campaign(ctx, seen.record, seen.version)
}

// observe notes a read of the lease record and returns what is known with it.
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
		mayCampaign: e.monitor.mayCampaign(e.node, now) && now >= e.campaignAfter &&
			(e.Eligible == nil || e.Eligible()),
	}
}

// observeFailure notes a read of the lease record that failed.
func (e *Elector) observeFailure(err error) {
	e.mu.Lock()
	e.monitor.observeFailure()
	e.mu.Unlock()
	if !storeUnavailable(err) {
		e.log.Error("leader lease not readable", "error", err)
	}
}

// pollDelay returns the time until a follower reads the record again: sooner near the end of
// the lease, and spread so that controllers do not race.
func (e *Elector) pollDelay(unchangedFor units.Micros) units.Micros {
	remaining := WithDrift(e.timing.Duration, e.timing.CampaignMargin) - unchangedFor
	jitter := units.Micros(e.random.Int64N(int64(leasePollJitter)))
	return max(minLeasePollInterval, min(e.timing.PollEvery, remaining)) + jitter
}

// disconnectedPatience returns for how long a record must be unchanged until a controller that
// hears nobody campaigns: longer if another controller held the lease.
func (e *Elector) disconnectedPatience(holder string) units.Micros {
	if holder == e.node {
		return e.timing.Duration
	}
	return 3 * e.timing.Duration
}

// campaign tries to win the lease by a compare-and-swap that raises the incarnation by one.
// The lease counts from when the write was sent, as a renewal's does.
func (e *Elector) campaign(ctx context.Context, old storage.LeaseRecord, version uint64) units.Micros {
	e.mu.Lock()
	record := storage.LeaseRecord{
		Holder:       e.node,
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

// storeUnavailable reports whether an error only says that the key-value store refused or did
// not answer, which an outage of it explains.
func storeUnavailable(err error) bool {
	return errors.Is(err, kv.ErrRefused) || errors.Is(err, kv.ErrOutcomeUnknown)
}
