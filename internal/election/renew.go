package election

import (
	"context"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// renew writes the record once to renew the lease, or to resign if the leader is stepping down.
// It returns the delay until the next step.
func (e *Elector) renew(ctx context.Context) units.Micros {
	e.mu.Lock()
	record := storage.LeaseRecord{
		Holder:       e.name,
		Incarnation:  e.token,
		WriteID:      e.nextWriteID(),
		Resigned:     e.steppingDown,
		HandedOverAt: e.handedOverAt,
	}
	base, sentAt := e.recordVersion, e.clock.Steady()
	e.mu.Unlock()
	version, ours, err := e.compareAndSwap(ctx, record, base)
	if err != nil {
		if !storeUnavailable(err) {
			e.log.Error("failed to renew leader lease", "token", record.Incarnation, "error", err)
		}
		return leaseRetryDelay
	}
	e.mu.Lock()
	e.answeredAt = e.clock.Steady()
	if ours {
		defer e.mu.Unlock()
		return e.renewed(record, version, sentAt)
	}
	e.mu.Unlock()
	if version == base {
		return leaseRetryDelay // the write has not been carried out yet; retry it
	}
	return e.resolveConflict(ctx)
}

// renewed records that a write sent at sentAt was carried out: a renewal, or the resignation.
// A renewed lease starts at sentAt, since no follower can have read the record before then. It
// returns the delay until the next step. The caller must hold e.mu.
func (e *Elector) renewed(record storage.LeaseRecord, version uint64, sentAt units.Micros) units.Micros {
	e.recordVersion = version
	if record.Resigned {
		e.loseLease("resigned")
		e.campaignAfter = e.clock.Steady() + max(2*e.timing.Duration, e.abstainFor)
		e.abstainFor = 0
		return e.timing.RenewEvery
	}
	e.validUntil = sentAt + e.timing.Duration
	return e.timing.RenewEvery
}

// resolveConflict reads the record to determine why a renewal met a version conflict: an earlier
// write of this process was carried out late, or another controller has won the lease. It
// returns the delay until the next step.
func (e *Elector) resolveConflict(ctx context.Context) units.Micros {
	record, version, err := e.readRecord(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		return leaseRetryDelay
	}
	if record.Holder == e.name && record.Incarnation == e.token && e.isOwnWrite(record.WriteID) {
		e.recordVersion = version
		return 0
	}
	e.loseLease("acquired by " + record.Holder)
	e.monitor.observe(record, version, e.clock.Steady())
	return 0
}

// loseLease makes this controller a follower. The caller must hold e.mu.
func (e *Elector) loseLease(why string) {
	e.log.Info("leader lease lost", "token", e.token, "why", why)
	e.leading, e.steppingDown, e.validUntil = false, false, 0
	e.monitor = leaseMonitor{timing: e.timing}
}
