package election

import "dunestand/internal/units"

// clockDriftPPM is the largest difference in rate between the steady clocks of two machines, in
// parts per million: each clock is off by at most 0.05%.
const clockDriftPPM = 1000

// WithDrift returns how long to wait by this machine's clock until duration has certainly
// passed by the clock of any other machine, plus margin by this machine's clock.
func WithDrift(duration, margin units.Micros) units.Micros {
	return duration + duration*clockDriftPPM/1_000_000 + margin
}
