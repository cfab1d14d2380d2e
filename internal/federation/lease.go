package federation

import "dunestand/internal/units"

// LeaseGrantor tracks the leases that the origin's leader has granted for one transfer. The
// previous leader may have granted leases until the new one acquired the leader lease, so a
// new leader counts that acquisition as a grant. All times are on the leader's steady clock.
// LeaseGrantor is not safe for concurrent use.
type LeaseGrantor struct{ lastGrant units.Micros }

// NewLeaseGrantor returns a grantor for a leader that acquired the leader lease at acquiredAt.
func NewLeaseGrantor(acquiredAt units.Micros) LeaseGrantor {
	return LeaseGrantor{lastGrant: acquiredAt}
}

// recordGrant records a grant at the given time. The target counts the lease from when it sent
// the renewal request, which is earlier, so the lease expires at the target first.
func (g *LeaseGrantor) recordGrant(now units.Micros) { g.lastGrant = max(g.lastGrant, now) }

// Expired reports whether all leases and the grace period have certainly expired at the
// target, so that no task of the job runs there. The result is valid only if no grant was
// unbounded.
func (g *LeaseGrantor) Expired(now units.Micros, timing Timing) bool {
	return now-g.lastGrant > timing.ReclaimDelay()
}

// SinceLastGrant returns the time since the last grant.
func (g *LeaseGrantor) SinceLastGrant(now units.Micros) units.Micros { return now - g.lastGrant }

// maxPendingRenewals is the number of latest renewal requests that a holder remembers, which
// bounds its memory. Grants for older requests are ignored.
const maxPendingRenewals = 8

// LeaseHolder tracks the lease that the target's leader holds on one job. All times are on the
// leader's steady clock. LeaseHolder is not safe for concurrent use.
type LeaseHolder struct {
	fencingToken uint64
	sequence     uint64
	pending      map[uint64]pendingRenewal // by sequence number
	expires      units.Micros
	run          int // run that the lease covers, 0: none
}

// pendingRenewal is a renewal request for which a grant may still arrive.
type pendingRenewal struct {
	sentAt units.Micros
	run    int
}

// NewLeaseHolder returns a holder without a lease for the leader with the given fencing token.
func NewLeaseHolder(fencingToken uint64) LeaseHolder {
	return LeaseHolder{fencingToken: fencingToken, pending: map[uint64]pendingRenewal{}}
}

// newRenewal records a renewal request sent at the given time and returns its ID.
func (h *LeaseHolder) newRenewal(now units.Micros, run int) RenewalID {
	h.sequence++
	h.pending[h.sequence] = pendingRenewal{sentAt: now, run: run}
	delete(h.pending, h.sequence-maxPendingRenewals)
	return RenewalID{FencingToken: h.fencingToken, Sequence: h.sequence}
}

// acceptGrant extends the lease and returns true if the grant answers a pending request of
// this leader and has not expired; an unbounded grant never expires. The lease counts from
// when the request was sent. A run whose lease has expired is not resumed: its tasks are
// being stopped, and starting them again requires a new run.
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

// Valid reports whether the lease covers the given run and has not expired.
func (h *LeaseHolder) Valid(now units.Micros, run int) bool { return h.run == run && now < h.expires }
