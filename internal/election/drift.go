package election

import "dunestand/internal/units"

// clockDriftPPM is how far apart two steady clocks can run, in millionths: each is off by up
// to 0.05%.
const clockDriftPPM = 1000

// WithDrift returns how long to wait by this machine's clock so that a duration has passed by
// the clock of any other machine, and a margin beyond it by this one's.
func WithDrift(duration, margin units.Micros) units.Micros {
	return duration + duration*clockDriftPPM/1_000_000 + margin
}
