package election

import "dunestand/internal/units"

// Leadership is the right to act as leader, won in one election. Its methods may be called
// concurrently.
type Leadership interface {
	// Token returns the fencing token: the incarnation of the leader lease.
	Token() uint64
	// Valid reports whether this controller holds the lease of this election at this moment.
	// See Elector.Valid for the guarantees of the result.
	Valid() bool
	// StepDown resigns the lease. A leader that could not do its work calls it.
	StepDown()
	// Abstain resigns the lease and does not campaign again for at least d.
	Abstain(d units.Micros)
	// HandOver resigns the lease of a leader that has fallen behind, and reports whether it
	// did. It does not if any holder handed the lease over recently. wall is the time of day.
	HandOver(wall units.Micros) bool
}

// Leadership returns the leadership of the election that this controller won with token.
func (e *Elector) Leadership(token uint64) Leadership { return leadership{e, token} }

type leadership struct {
	*Elector
	token uint64
}

// Token implements Leadership.
func (l leadership) Token() uint64 { return l.token }

// Valid implements Leadership.
func (l leadership) Valid() bool { return l.Elector.Valid(l.token) }
