package admission

import (
	"math"

	"dunestand/internal/units"
)

// Corrections learns by how much the estimates of each team are off, from the run times
// of its tasks. A team that overstates or understates all of them gains nothing by it.
// The mean is taken on a logarithmic scale: twice as long and half as long weigh the
// same.
type Corrections struct{ teams map[string]*correction }

type correction struct {
	mean float64 // of the binary logarithm of run time against estimate
	seen int
}

// A run counts for at least this much of the mean; the first ones count for more.
const leastRunWeight = 0.02

// mostOff bounds a ratio, as its binary logarithm.
const mostOff = 4

// NewCorrections makes corrections that have seen nothing.
func NewCorrections() *Corrections { return &Corrections{teams: map[string]*correction{}} }

// Observe takes in the run time of a task with an estimate.
func (c *Corrections) Observe(team string, estimate, run units.Micros) {
	if estimate <= 0 || run <= 0 {
		return
	}
	known := c.teams[team]
	if known == nil {
		known = &correction{}
		c.teams[team] = known
	}
	ratio := math.Log2(run.Seconds() / max(estimate, leastRun).Seconds())
	known.seen++
	// The first runs are taken in beside as many imagined ones that hold.
	weight := max(1/float64(known.seen+imaginedRuns), leastRunWeight)
	known.mean += weight * (max(-mostOff, min(ratio, mostOff)) - known.mean)
}

// imaginedRuns is how many runs speak for the estimates at first.
const imaginedRuns = 5

// Snapshot gives the corrections of all teams that were seen.
func (c *Corrections) Snapshot() map[string]PerMille {
	out := make(map[string]PerMille, len(c.teams))
	for team, known := range c.teams {
		out[team] = PerMille(math.Round(float64(Exact) * math.Exp2(known.mean)))
	}
	return out
}
