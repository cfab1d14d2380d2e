package admission

import (
	"math"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// EstimateCorrections holds for each team the mean ratio of the run times of its tasks to their
// estimates. Work is computed from corrected estimates, so a team gains nothing by overstating
// or understating all of them. The mean is geometric: a run of twice the estimate and one of
// half of it cancel out. It is not safe for concurrent use.
type EstimateCorrections struct{ teams map[string]*runRatio }

// runRatio is the mean ratio of run times to estimates of one team.
type runRatio struct {
	mean float64 // mean of the binary logarithms of the ratios
	runs int
}

// minRunWeight is the least weight of a run in the mean, so that the mean follows changes. The
// first runs of a team weigh more.
const minRunWeight = 0.02

// maxLogRatio bounds the binary logarithm of the ratio of one run, in both directions, which
// limits the effect of a single outlier.
const maxLogRatio = 4

// NewEstimateCorrections returns corrections without any recorded run.
func NewEstimateCorrections() *EstimateCorrections {
	return &EstimateCorrections{teams: map[string]*runRatio{}}
}

// RecordRun records the run time of a task of a team. It ignores runs without an estimate or
// without a run time.
func (c *EstimateCorrections) RecordRun(team string, estimate, run units.Micros) {
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
	weight := max(1/float64(ratio.runs+priorRuns), minRunWeight)
	ratio.mean += weight * (max(-maxLogRatio, min(logRatio, maxLogRatio)) - ratio.mean)
}

// priorRuns is the number of imaginary runs with exact estimates that the mean of each team
// begins with, so that a team's first runs do not determine its correction alone.
const priorRuns = 5

// Snapshot returns the corrections of all teams with a recorded run, by team. The caller owns
// the map.
func (c *EstimateCorrections) Snapshot() map[string]PerMille {
	out := make(map[string]PerMille, len(c.teams))
	for team, ratio := range c.teams {
		out[team] = PerMille(math.Round(float64(exactEstimates) * math.Exp2(ratio.mean)))
	}
	return out
}

// PerMille is a ratio in thousandths.
type PerMille uint32

// exactEstimates is the correction of a team whose estimates equal its run times.
const exactEstimates PerMille = 1000

// minRunTime is the least expected run time. It replaces shorter and missing estimates.
const minRunTime = units.Second

// runTime returns the expected run time of a task of a job: the estimate times the correction
// of the team. A service holds its resources for the whole horizon.
func runTime(job *protocol.JobSpec, correction PerMille, horizon units.Micros) units.Micros {
	if job.Kind == protocol.Service {
		return horizon
	}
	corrected := Work(job.Estimate).scaled(uint64(correction), uint64(exactEstimates))
	return max(units.Micros(corrected), minRunTime)
}
