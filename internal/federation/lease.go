package federation

import "dunestand/internal/units"

// LeaseGrantor is what an origin's leader knows of the grants of a transfer. Another leader may
// have granted until the fleet lease was claimed, so each begins with the time of its claim.
type LeaseGrantor struct{ lastGrant units.Micros }

// NewLeaseGrantor begins with the time at which this leader claimed the fleet lease.
func NewLeaseGrantor(claimedAt units.Micros) LeaseGrantor { return LeaseGrantor{lastGrant: claimedAt} }

// recordGrant notes a grant. The target counts it from before the Renew arrived here.
func (g *LeaseGrantor) recordGrant(now units.Micros) { g.lastGrant = max(g.lastGrant, now) }

// Expired tells whether nothing of the job can run at the target any more, if nothing was
// granted without bounds.
func (g *LeaseGrantor) Expired(now units.Micros, terms Timing) bool {
	return now-g.lastGrant > terms.ReclaimDelay()
}

// SinceLastGrant is for how long nothing was granted.
func (g *LeaseGrantor) SinceLastGrant(now units.Micros) units.Micros { return now - g.lastGrant }

// maxPendingRenewals bounds the Renews whose grants are still taken.
const maxPendingRenewals = 8

// LeaseHolder is what a target's leader knows of its lease on a job.
type LeaseHolder struct {
	fencingToken uint64
	sequence     uint64
	pending      map[uint64]pendingRenewal
	expires      units.Micros
	run          int // that until is for
}

type pendingRenewal struct {
	sentAt units.Micros
	run    int
}

// NewLeaseHolder begins without a lease, for a leader with an incarnation of the fleet lease.
func NewLeaseHolder(term uint64) LeaseHolder {
	return LeaseHolder{fencingToken: term, pending: map[uint64]pendingRenewal{}}
}

// newRenewal notes a Renew that is sent now.
func (h *LeaseHolder) newRenewal(now units.Micros, run int) RenewalID {
	h.sequence++
	h.pending[h.sequence] = pendingRenewal{sentAt: now, run: run}
	delete(h.pending, h.sequence-maxPendingRenewals)
	return RenewalID{FencingToken: h.fencingToken, Sequence: h.sequence}
}

// acceptGrant takes a grant over, and tells whether it answers a Renew of this leader in time. The
// lease counts from when that was sent. A run whose lease has lapsed does not go on: its
// tasks are being stopped, and to start them again is another run.
func (h *LeaseHolder) acceptGrant(m *Message, lease, now units.Micros) bool {
	asked, known := h.pending[m.Renewal.Sequence]
	switch {
	case m.Renewal.FencingToken != h.fencingToken || !known || asked.run != m.Run || m.Run < h.run:
		return false
	case m.Run == h.run && now >= h.expires:
		return false
	}
	until := asked.sentAt + lease
	if now >= until && !m.Unbounded {
		return false
	}
	if m.Run > h.run {
		h.expires = until
	}
	h.run, h.expires = m.Run, max(h.expires, until)
	return true
}

// Valid tells whether the lease on a run of the job holds.
func (h *LeaseHolder) Valid(now units.Micros, run int) bool { return h.run == run && now < h.expires }
