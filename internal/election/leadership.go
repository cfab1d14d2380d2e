package election

import "dunestand/internal/units"

// Leadership is the right to act as leader, won in one election. Its methods may be called
// concurrently.
type Leadership interface {
	// Token returns the fencing token: the incarnation of the leader lease.
	Token() uint64
	// Valid reports whether this controller holds the lease of this election at this moment.
	// See Elector.Valid for what the answer proves.
	Valid() bool
	// StepDown gives the lease up, for a leader that could not do its work.
	StepDown()
	// Abstain gives the lease up and leaves it to the others for at least d.
	Abstain(d units.Micros)
	// HandOver gives the lease up for a leader that has fallen behind, and reports whether it
	// did: not if any holder did so a short time ago. wall is the time of day.
	HandOver(wall units.Micros) bool
}

// Leadership returns the leadership of an election that this controller won.
func (e *Elector) Leadership(token uint64) Leadership { return leadership{e, token} }

type leadership struct {
	*Elector
	token uint64
}

// Token implements Leadership.
func (l leadership) Token() uint64 { return l.token }

// Valid implements Leadership.
func (l leadership) Valid() bool { return l.Elector.Valid(l.token) }
