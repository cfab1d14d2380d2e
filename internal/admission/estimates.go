package admission

import (
	"math"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// EstimateCorrections learns for each team by which factor its run time estimates are off, from the
// run times of its tasks; a team that overstates or understates all of them gains nothing by
// it. The factor is a geometric mean: twice as long and half as long cancel out. Corrections
// is not safe for concurrent use.
type EstimateCorrections struct{ teams map[string]*runRatio }

// runRatio is the ratio of run times to estimates of one team.
type runRatio struct {
	mean float64 // of the binary logarithms of the ratios
	runs int
}

// minRunWeight is the least weight of a run in the mean. The first runs weigh more.
const minRunWeight = 0.02

// maxLogRatio bounds the binary logarithm of the ratio of one run.
const maxLogRatio = 4

// NewEstimateCorrections returns corrections without any run, by which all estimates are exact.
func NewEstimateCorrections() *EstimateCorrections {
	return &EstimateCorrections{teams: map[string]*runRatio{}}
}

// RecordRun records the run time of a task with an estimate. It ignores runs without one.
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

// priorRuns is the number of runs that match their estimates with which the mean of each team
// is assumed to begin.
const priorRuns = 5

// Snapshot returns the factors of all teams with a recorded run.
func (c *EstimateCorrections) Snapshot() map[string]PerMille {
	out := make(map[string]PerMille, len(c.teams))
	for team, ratio := range c.teams {
		out[team] = PerMille(math.Round(float64(exactEstimates) * math.Exp2(ratio.mean)))
	}
	return out
}

// PerMille is a ratio in thousandths.
type PerMille uint32

// exactEstimates is the correction of estimates that are right.
const exactEstimates PerMille = 1000

// minRunTime replaces shorter and missing estimates.
const minRunTime = units.Second

// runTime returns the expected run time of a task of a job: its estimate, corrected by the
// factor of its team. A service holds its resources for the whole horizon.
func runTime(job *protocol.JobSpec, correction PerMille, horizon units.Micros) units.Micros {
	if job.Kind == protocol.Service {
		return horizon
	}
	corrected := Work(job.Estimate).scaled(uint64(correction), uint64(exactEstimates))
	return max(units.Micros(corrected), minRunTime)
}
