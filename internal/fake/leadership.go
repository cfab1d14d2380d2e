package fake

import "dunestand/internal/units"

// Leadership is the leadership of a leader that loses it only by stepping down. It must not
// be changed while others read it.
type Leadership struct {
	FencingToken uint64 // the fencing token
	Lost         bool
	Abstained    units.Micros // for how long the leader does not campaign
}

// Token returns the fencing token.
func (l *Leadership) Token() uint64 { return l.FencingToken }

// Valid reports whether the leader may act.
func (l *Leadership) Valid() bool { return !l.Lost }

// StepDown ends the leadership.
func (l *Leadership) StepDown() { l.Lost = true }

// Abstain ends the leadership and records for how long the leader does not campaign.
func (l *Leadership) Abstain(d units.Micros) { l.Lost, l.Abstained = true, d }

// HandOver refuses: the leader keeps the lease.
func (l *Leadership) HandOver(units.Micros) bool { return false }
