package election

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Valid reports whether this controller holds the lease with the given fencing token at this
// moment. true proves that no other controller held a lease when the call began; it proves
// nothing about later moments, so what must not happen without the lease is fenced by the
// token in the key-value store and on the workers as well. false proves nothing: the lease may
// hold while a renewal has not been answered yet.
func (e *Elector) Valid(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading && !e.steppingDown && e.token == token && e.clock.Steady() < e.validUntil
}

// Remaining returns how long the lease still holds without a renewal, 0 if it has expired, is
// being given up or is not held.
func (e *Elector) Remaining() units.Micros {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.steppingDown {
		return 0
	}
	return max(0, e.validUntil-e.clock.Steady())
}

// LeaseDuration returns for how long a renewal of the lease holds.
func (e *Elector) LeaseDuration() units.Micros { return e.timing.Duration }

// Token returns the fencing token of the last election that this controller won, 0 if it has
// won none. It does not prove that the lease is still held; Valid does.
func (e *Elector) Token() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token
}

// Leader returns the name of the controller that holds the lease as far as this one knows, ""
// if it knows of none. It proves nothing: the lease may have expired or have been lost since
// the record was read.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leading {
		return e.node
	}
	if !e.monitor.seen || e.monitor.record.Resigned {
		return ""
	}
	return e.monitor.record.Holder
}

// SeesRenewals reports whether another controller led a moment ago: this one has itself seen
// the holder renew the record within the last lease duration, and the last read was answered.
// false does not prove that nobody leads.
func (e *Elector) SeesRenewals() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.monitor
	return !e.leading && m.seen && !m.readFailed && !m.record.Resigned && m.version != 0 &&
		e.clock.Steady()-m.unchangedSince < e.timing.Duration
}

// UnansweredFor returns for how long the key-value store has answered neither a read nor a
// renewal of the record. A large value tells that this controller is cut off from the store
// or that the store is down, not which of the two.
func (e *Elector) UnansweredFor() units.Micros {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Steady() - e.answeredAt
}

// ObserveRecord notes what a read of the lease record by another component showed just now.
func (e *Elector) ObserveRecord(record storage.LeaseRecord, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = e.clock.Steady()
	e.monitor.observe(record, version, e.answeredAt)
}
