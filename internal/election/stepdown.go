package election

import "dunestand/internal/units"

// minHandOverInterval is the minimum time between two hand-overs by any holders. Without it the
// controllers would keep handing the lease over to each other.
const minHandOverInterval = 120 * units.Second

// StepDown resigns the lease of a leader that could not do its work. Valid returns false from
// now on; the next renewal writes the resignation, so that the others need not wait for the
// lease to expire.
func (e *Elector) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppingDown = true
}

// Abstain steps down as StepDown does, and keeps this controller from campaigning for at least
// d after the resignation is written. A controller that is unable to lead calls it.
func (e *Elector) Abstain(d units.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppingDown, e.abstainFor = true, d
}

// HandOver makes a leader that has fallen behind step down, and reports whether it did. It does
// not if this controller does not lead, or if any holder handed the lease over less than
// minHandOverInterval ago. wall is the time of day, which is stored in the lease record for
// later holders.
func (e *Elector) HandOver(wall units.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.steppingDown || wall-e.handedOverAt < minHandOverInterval {
		return false
	}
	e.handedOverAt, e.steppingDown = wall, true
	return true
}
