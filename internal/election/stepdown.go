package election

import "dunestand/internal/units"

// minHandOverInterval is the least time between two hand-overs by any holders; otherwise the
// lease would be handed around in circles.
const minHandOverInterval = 120 * units.Second

// StepDown makes a leader give the lease up that could not do its work. Valid is false from
// now on; the next renewal writes the resignation, so that the others need not wait for the
// lease to expire.
func (e *Elector) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppingDown = true
}

// Abstain steps down as StepDown does, and does not campaign for at least d after the
// resignation is written: for a controller that cannot lead.
func (e *Elector) Abstain(d units.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppingDown, e.abstainFor = true, d
}

// HandOver steps down for a leader that has fallen behind, unless it does not lead or any
// holder handed the lease over less than minHandOverInterval ago. It reports whether it did. wall
// is the time of day, which the record carries from holder to holder.
func (e *Elector) HandOver(wall units.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.steppingDown || wall-e.handedOverAt < minHandOverInterval {
		return false
	}
	e.handedOverAt, e.steppingDown = wall, true
	return true
}
