package federation

import "dunestand/internal/units"

// Timing are the times of a delegation, the same in both cells.
type Timing struct {
	// Lease is for how long a grant lets the target run tasks.
	Lease units.Micros
	// StopGrace is the time within which the tasks are gone after the lease's end, whatever
	// happens to the target's controllers: no less than the lease of its workers.
	StopGrace units.Micros
}

const (
	// maxDriftPPM is by how much two steady clocks may drift apart.
	maxDriftPPM = 500
	// roundingAllowance covers what the clocks' steps hide.
	roundingAllowance = 100 * units.Millisecond
)

// ReclaimDelay is how long the origin waits, by its own clock, from its last grant until nothing
// of the job runs at the target.
func (t Timing) ReclaimDelay() units.Micros {
	length := t.Lease + t.StopGrace
	return withDrift(length) + roundingAllowance
}

// withDrift returns how long a length may last on another steady clock, at the most.
func withDrift(length units.Micros) units.Micros {
	return length + length*maxDriftPPM/1_000_000
}
