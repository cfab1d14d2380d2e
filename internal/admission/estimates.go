package admission

import (
	"math"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Corrections learns by how much the estimates of each team are off, from the run times
// of its tasks. A team that overstates or understates all of them gains nothing by it.
// The mean is taken on a logarithmic scale: twice as long and half as long weigh the
// same.
type Corrections struct{ teams map[string]*runRatio }

type runRatio struct {
	mean float64 // of the binary logarithm of run time against estimate
	runs int
}

// A run counts for at least this much of the mean; the first ones count for more.
const minRunWeight = 0.02

// maxLogRatio bounds a ratio, as its binary logarithm.
const maxLogRatio = 4

// NewCorrections makes corrections that have seen nothing.
func NewCorrections() *Corrections { return &Corrections{teams: map[string]*runRatio{}} }

// Observe takes in the run time of a task with an estimate.
func (c *Corrections) Observe(team string, estimate, run units.Micros) {
	if estimate <= 0 || run <= 0 {
		return
	}
	ratio := c.teams[team]
	if ratio == nil {
		ratio = &runRatio{}
		c.teams[team] = ratio
	}
	logRatio := math.Log2(run.Seconds() / max(estimate, minRunTime).Seconds())
	ratio.runs++
	// The first runs are taken in beside as many imagined ones that hold.
	weight := max(1/float64(ratio.runs+priorRuns), minRunWeight)
	ratio.mean += weight * (max(-maxLogRatio, min(logRatio, maxLogRatio)) - ratio.mean)
}

// priorRuns is how many runs speak for the estimates at first.
const priorRuns = 5

// Snapshot gives the corrections of all teams that were seen.
func (c *Corrections) Snapshot() map[string]PerMille {
	out := make(map[string]PerMille, len(c.teams))
	for team, ratio := range c.teams {
		out[team] = PerMille(math.Round(float64(exactEstimates) * math.Exp2(ratio.mean)))
	}
	return out
}

// PerMille is a ratio in thousandths.
type PerMille uint32

// exactEstimates is the ratio of estimates that hold.
const exactEstimates PerMille = 1000

// minRunTime stands for estimates that are shorter, or missing.
const minRunTime = units.Second

// runTime is how long a task of a job is reckoned to run before any was seen: by its
// owner's estimate and what the team's estimates were off by. A service holds its
// resources for the whole horizon.
func runTime(job *protocol.JobSpec, correction PerMille, horizon units.Micros) units.Micros {
	if job.Shape == protocol.Service {
		return horizon
	}
	corrected := Work(job.Estimate).scaled(uint64(correction), uint64(exactEstimates))
	return max(units.Micros(corrected), minRunTime)
}
