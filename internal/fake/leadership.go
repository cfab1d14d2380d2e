package fake

import "dunestand/internal/units"

// Leadership is a fake of a leader's leadership. It has no lease and therefore never expires: it
// ends when the leader steps down or abstains, or a test sets Lost. It must not be changed while
// other goroutines read it.
type Leadership struct {
	FencingToken uint64
	Lost         bool         // the leader must no longer act
	AbstainedFor units.Micros // duration of the last Abstain
}

// Token returns FencingToken.
func (l *Leadership) Token() uint64 { return l.FencingToken }

// Valid reports whether the leader may still act.
func (l *Leadership) Valid() bool { return !l.Lost }

// StepDown ends the leadership.
func (l *Leadership) StepDown() { l.Lost = true }

// Abstain ends the leadership and records d, the time for which the leader must not campaign.
func (l *Leadership) Abstain(d units.Micros) { l.Lost, l.AbstainedFor = true, d }

// HandOver always returns false: the leadership is not handed over.
func (l *Leadership) HandOver(units.Micros) bool { return false }
