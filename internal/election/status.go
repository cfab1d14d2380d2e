package election

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Valid reports whether this controller holds the lease with the given fencing token at this
// moment. True guarantees that no other controller held the lease when the call began. It
// guarantees nothing about later moments, so the key-value store and the workers also check the
// fencing token of every action that requires the lease. False guarantees nothing: the lease may
// be held while a renewal has not been answered yet.
func (e *Elector) Valid(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading && !e.steppingDown && e.token == token && e.clock.Steady() < e.validUntil
}

// Remaining returns the time until the lease expires unless it is renewed. It is 0 if the lease
// has expired or is not held, or if this controller is stepping down.
func (e *Elector) Remaining() units.Micros {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.steppingDown {
		return 0
	}
	return max(0, e.validUntil-e.clock.Steady())
}

// LeaseDuration returns for how long a renewal extends the lease.
func (e *Elector) LeaseDuration() units.Micros { return e.timing.Duration }

// Token returns the fencing token of the last election that this controller won, or 0 if it has
// won none. The lease may have been lost since; Valid checks that.
func (e *Elector) Token() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token
}

// Leader returns the name of the last known holder of the lease, or "" if none is known. It
// guarantees nothing: the lease may have expired or been lost since the record was read.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leading {
		return e.name
	}
	if !e.monitor.seen || e.monitor.record.Resigned {
		return ""
	}
	return e.monitor.record.Holder
}

// SeesRenewals reports whether another controller led a moment ago: this controller has itself
// seen the record change within the last lease duration, and the last read succeeded. False
// does not guarantee that there is no leader.
func (e *Elector) SeesRenewals() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.monitor
	return !e.leading && m.seen && !m.readFailed && !m.record.Resigned && m.version != 0 &&
		e.clock.Steady()-m.unchangedSince < e.timing.Duration
}

// UnansweredFor returns the time since the key-value store last answered a read or a renewal of
// the record. A large value means that this controller is partitioned from the store or that
// the store is down; it does not tell which.
func (e *Elector) UnansweredFor() units.Micros {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Steady() - e.answeredAt
}

// ObserveRecord updates this controller's view of the lease with a record that another component
// has just read, and with the record's version.
func (e *Elector) ObserveRecord(record storage.LeaseRecord, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = e.clock.Steady()
	e.monitor.observe(record, version, e.answeredAt)
}
