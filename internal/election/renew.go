package election

import (
	"context"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// renew prolongs the lease by one write of the record, or resigns if the leader is stepping
// down. It returns the time until the next step.
func (e *Elector) renew(ctx context.Context) units.Micros {
	e.mu.Lock()
	record := storage.LeaseRecord{
		Holder:       e.node,
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
			e.log.Error("leader lease not renewed", "token", record.Incarnation, "error", err)
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
		return leaseRetryDelay // not carried out yet; the next write decides
	}
	return e.resolveConflict(ctx)
}

// renewed notes that a renewal sent at sentAt was carried out. The lease counts from when the
// write was sent, since nobody can have seen it earlier. It needs the lock held.
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

// resolveConflict finds out why a renewal met another version of the record: an earlier write
// of this process was carried out late, or another controller has won the lease.
func (e *Elector) resolveConflict(ctx context.Context) units.Micros {
	record, version, err := e.readRecord(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		return leaseRetryDelay
	}
	if record.Holder == e.node && record.Incarnation == e.token && e.isOwnWrite(record.WriteID) {
		e.recordVersion = version
		return 0
	}
	e.loseLease("acquired by " + record.Holder)
	e.monitor.observe(record, version, e.clock.Steady())
	return 0
}

// loseLease makes this controller a follower. It needs the lock held.
func (e *Elector) loseLease(why string) {
	e.log.Info("leader lease lost", "token", e.token, "why", why)
	e.leading, e.steppingDown, e.validUntil = false, false, 0
	e.monitor = leaseMonitor{timing: e.timing}
}
