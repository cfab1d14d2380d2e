package federation

import "dunestand/internal/units"

// Grantor is what an origin's leader knows of the grants of a transfer. Another leader may
// have granted until the fleet lease was claimed, so each begins with the time of its claim.
type Grantor struct{ last units.Micros }

// NewGrantor begins with the time at which this leader claimed the fleet lease.
func NewGrantor(claimedAt units.Micros) Grantor { return Grantor{last: claimedAt} }

// granted notes a grant. The target counts it from before the Renew arrived here.
func (g *Grantor) granted(now units.Micros) { g.last = max(g.last, now) }

// Lapsed tells whether nothing of the job can run at the target any more, if nothing was
// granted without bounds.
func (g *Grantor) Lapsed(now units.Micros, terms Terms) bool { return now-g.last > terms.Certain() }

// Silent is for how long nothing was granted.
func (g *Grantor) Silent(now units.Micros) units.Micros { return now - g.last }

// openRenewals bounds the Renews whose grants are still taken.
const openRenewals = 8

// Holder is what a target's leader knows of its lease on a job.
type Holder struct {
	term   uint64
	number uint64
	sent   map[uint64]sentRenewal
	until  units.Micros
	run    int // that until is for
}

type sentRenewal struct {
	at  units.Micros
	run int
}

// NewHolder begins without a lease, for a leader with an incarnation of the fleet lease.
func NewHolder(term uint64) Holder { return Holder{term: term, sent: map[uint64]sentRenewal{}} }

// ask notes a Renew that is sent now.
func (h *Holder) ask(now units.Micros, run int) Renewal {
	h.number++
	h.sent[h.number] = sentRenewal{at: now, run: run}
	delete(h.sent, h.number-openRenewals)
	return Renewal{Term: h.term, Number: h.number}
}

// take takes a grant over, and tells whether it answers a Renew of this leader in time. The
// lease counts from when that was sent. A run whose lease has lapsed does not go on: its
// tasks are being stopped, and to start them again is another run.
func (h *Holder) take(m *Message, lease, now units.Micros) bool {
	asked, known := h.sent[m.Renewal.Number]
	switch {
	case m.Renewal.Term != h.term || !known || asked.run != m.Run || m.Run < h.run:
		return false
	case m.Run == h.run && now >= h.until:
		return false
	}
	until := asked.at + lease
	if now >= until && !m.Unbounded {
		return false
	}
	if m.Run > h.run {
		h.until = until
	}
	h.run, h.until = m.Run, max(h.until, until)
	return true
}

// Valid tells whether the lease on a run of the job holds.
func (h *Holder) Valid(now units.Micros, run int) bool { return h.run == run && now < h.until }
