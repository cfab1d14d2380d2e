package federation

import "dunestand/internal/units"

// LeaseGrantor is what an origin's leader knows of the leases that were granted on one
// transfer. Its predecessor may have granted leases until the leader lease was acquired, so
// a new leader counts that time as a grant. All times are of the leader's steady clock.
// It is not safe for concurrent use.
type LeaseGrantor struct{ lastGrant units.Micros }

// NewLeaseGrantor returns the grantor of a leader that acquired the leader lease at a time.
func NewLeaseGrantor(acquiredAt units.Micros) LeaseGrantor {
	return LeaseGrantor{lastGrant: acquiredAt}
}

// recordGrant records a grant that is decided on now. The target counts its lease from
// before the renewal request arrived here, so it ends there sooner.
func (g *LeaseGrantor) recordGrant(now units.Micros) { g.lastGrant = max(g.lastGrant, now) }

// Expired reports whether nothing of the job can run at the target any more, provided that
// no grant was unbounded.
func (g *LeaseGrantor) Expired(now units.Micros, timing Timing) bool {
	return now-g.lastGrant > timing.ReclaimDelay()
}

// SinceLastGrant returns how long ago the last grant was.
func (g *LeaseGrantor) SinceLastGrant(now units.Micros) units.Micros { return now - g.lastGrant }

// maxPendingRenewals is how many of the latest renewal requests may still be answered by a
// grant; it bounds memory.
const maxPendingRenewals = 8

// LeaseHolder is what a target's leader knows of its lease on one job. All times are of the
// leader's steady clock. It is not safe for concurrent use.
type LeaseHolder struct {
	fencingToken uint64
	sequence     uint64
	pending      map[uint64]pendingRenewal // by sequence number
	expires      units.Micros
	run          int // the run that the lease is on, 0: none
}

// pendingRenewal is a renewal request that no grant has answered yet.
type pendingRenewal struct {
	sentAt units.Micros
	run    int
}

// NewLeaseHolder returns a holder without a lease, for the leader with a fencing token.
func NewLeaseHolder(fencingToken uint64) LeaseHolder {
	return LeaseHolder{fencingToken: fencingToken, pending: map[uint64]pendingRenewal{}}
}

// newRenewal records a renewal request that is sent now, and returns its id.
func (h *LeaseHolder) newRenewal(now units.Micros, run int) RenewalID {
	h.sequence++
	h.pending[h.sequence] = pendingRenewal{sentAt: now, run: run}
	delete(h.pending, h.sequence-maxPendingRenewals)
	return RenewalID{FencingToken: h.fencingToken, Sequence: h.sequence}
}

// acceptGrant extends the lease by a grant and reports whether the grant answers a request
// of this leader in time. The lease counts from when the request was sent. A run whose
// lease has expired is not resumed: its tasks are being stopped, and to start them again
// is another run.
func (h *LeaseHolder) acceptGrant(grant *Message, lease, now units.Micros) bool {
	request, known := h.pending[grant.Renewal.Sequence]
	switch {
	case grant.Renewal.FencingToken != h.fencingToken || !known || request.run != grant.Run || grant.Run < h.run:
		return false
	case grant.Run == h.run && now >= h.expires:
		return false
	}
	expires := request.sentAt + lease
	if now >= expires && !grant.Unbounded {
		return false
	}
	if grant.Run > h.run {
		h.expires = expires
	}
	h.run, h.expires = grant.Run, max(h.expires, expires)
	return true
}

// Valid reports whether the lease is on a run of the job and has not expired.
func (h *LeaseHolder) Valid(now units.Micros, run int) bool { return h.run == run && now < h.expires }
