package federation

import "dunestand/internal/units"

// Timing holds the durations that must be the same in all cells of a federation.
type Timing struct {
	// Lease is the duration for which a grant lets the target run tasks, counted from when
	// the target sent the renewal request.
	Lease units.Micros
	// StopGrace is the grace period after lease expiry within which all tasks of the job at
	// the target have stopped, even if all controllers of the target fail. It must be at
	// least the lease of the workers plus clock drift.
	StopGrace units.Micros
}

const (
	// maxDriftPPM is the maximum drift between two steady clocks, in parts per million.
	maxDriftPPM = 500
	// roundingAllowance covers the limited resolution of both clocks.
	roundingAllowance = 100 * units.Millisecond
)

// ReclaimDelay returns the time, on the origin's steady clock, from the origin's last grant
// until no task of the job can be running at the target.
func (t Timing) ReclaimDelay() units.Micros {
	return withDrift(t.Lease+t.StopGrace) + roundingAllowance
}

// withDrift returns the longest duration that another steady clock may measure for a given
// duration on this one.
func withDrift(duration units.Micros) units.Micros {
	return duration + duration*maxDriftPPM/1_000_000
}
