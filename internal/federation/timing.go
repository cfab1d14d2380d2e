package federation

import "dunestand/internal/units"

// Timing is the lengths of time that the cells of one cells file agree on.
type Timing struct {
	// Lease is for how long a grant lets the target run tasks, from when it asked.
	Lease units.Micros
	// StopGrace is the grace period after the lease has expired within which the target's
	// tasks are gone, even if all of its controllers fail. It is no less than the lease of
	// its workers.
	StopGrace units.Micros
}

const (
	// maxDriftPPM is by how many parts in a million two steady clocks may drift apart.
	maxDriftPPM = 500
	// roundingAllowance covers the resolution of both clocks.
	roundingAllowance = 100 * units.Millisecond
)

// ReclaimDelay returns how long the origin waits, by its own steady clock, from its last
// grant until nothing of the job can run at the target.
func (t Timing) ReclaimDelay() units.Micros {
	return withDrift(t.Lease+t.StopGrace) + roundingAllowance
}

// withDrift returns the longest time that a length on one steady clock takes on another.
func withDrift(length units.Micros) units.Micros {
	return length + length*maxDriftPPM/1_000_000
}
