package standin

import (
	"dunestand/internal/units"
)

// Leadership is a lease that holds until it is taken from the leader.
type Leadership struct {
	Number    uint64
	Lost      bool
	Abstained units.Micros
}

func (l *Leadership) Token() uint64 { return l.Number }

func (l *Leadership) Valid() bool { return !l.Lost }

func (l *Leadership) StepDown() { l.Lost = true }

func (l *Leadership) Abstain(d units.Micros) { l.Lost, l.Abstained = true, d }

func (l *Leadership) HandOver(units.Micros) bool { return false }
