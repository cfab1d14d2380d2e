package election

import "dunestand/internal/units"

// Leadership is the right to act as leader, won in one election. Its methods may be called
// concurrently.
type Leadership interface {
	// Token is the fencing token: the incarnation of the leader lease.
	Token() uint64
	// Valid reports whether this controller surely holds the lease now.
	Valid() bool
	// StepDown gives the lease up, for a leader that could not do its work.
	StepDown()
	// Abstain gives the lease up and leaves it to the others for a while.
	Abstain(d units.Micros)
	// HandOver gives the lease up for a leader that has fallen behind, and reports whether
	// it did: not if any holder did so a short time ago. wall is the time of day.
	HandOver(wall units.Micros) bool
}

// Leadership returns the leadership of an election that this controller won.
func (f *Elector) Leadership(token uint64) Leadership { return leadership{f, token} }

type leadership struct {
	*Elector
	token uint64
}

func (l leadership) Token() uint64 { return l.token }

func (l leadership) Valid() bool { return l.Elector.Valid(l.token) }
