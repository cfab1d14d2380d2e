package admission

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// TeamEntry is what a plan says of one team's work in a pool.
type TeamEntry struct {
	VersionQuota       Work     // that cells without a restriction of their own may take under this version
	LargeThreshold     Work     // a job of more work is in the band Large
	EstimateCorrection PerMille // run times against the team's estimates
}

// CellRestriction restricts the jobs of a cell: small ones are admitted while their position is
// in the window, large ones when they are at the head of the queue.
type CellRestriction struct {
	Start        uint32 // first position of the window
	Width        uint32 // number of its positions
	VersionQuota Work   // that may be admitted through the window under this version
}

// Plan says which jobs are admitted. It never changes once it is made: a later plan has
// a higher version, and shares with it what has stayed the same.
type Plan struct {
	Version  uint64 // counts all plans of the fleet
	Term     uint64 // of the leader that made it
	Horizon  units.Micros
	Capacity Amounts

	teams        *iradix.Tree[TeamEntry]
	restrictions *iradix.Tree[CellRestriction]
	queueHeads   *iradix.Tree[struct{}] // IDs of the large jobs that it admits
}

// newPlan returns a plan without teams and restrictions.
func newPlan(version, fencingToken uint64, horizon units.Micros, capacity Amounts) *Plan {
	return &Plan{
		Version:      version,
		Term:         fencingToken,
		Horizon:      horizon,
		Capacity:     capacity,
		teams:        iradix.New[TeamEntry](),
		restrictions: iradix.New[CellRestriction](),
		queueHeads:   iradix.New[struct{}](),
	}
}

// Team returns what the plan holds for a team in a pool; false: it holds nothing.
func (p *Plan) Team(team string, pool Pool) (TeamEntry, bool) {
	var buffer [keyBuffer]byte
	return p.teams.Get(teamKey{Team: team, Pool: pool}.appendKey(buffer[:0]))
}

// teamOrDefault returns what the plan holds for a team in a pool; of a team that it does not
// know no job is large, and its estimates are taken as they are.
func (p *Plan) teamOrDefault(team string, pool Pool) TeamEntry {
	if entry, known := p.Team(team, pool); known {
		return entry
	}
	return TeamEntry{LargeThreshold: MaxWork, EstimateCorrection: exactEstimates}
}

// Restriction returns what restricts a cell's jobs and the cell that it is made for, which is the
// team's own or the one for all its other classes; false: none restricts them.
func (p *Plan) Restriction(cell Cell) (CellRestriction, Cell, bool) {
	var buffer [keyBuffer]byte
	if restriction, ok := p.restrictions.Get(cell.appendKey(buffer[:0])); ok {
		return restriction, cell, true
	}
	cell.Class = ""
	restriction, ok := p.restrictions.Get(cell.appendKey(buffer[:0]))
	return restriction, cell, ok
}

// AtQueueHead reports whether the plan admits a large job by its ID.
func (p *Plan) AtQueueHead(id string) bool {
	_, found := p.queueHeads.Get([]byte(id))
	return found
}

// Gates returns the number of cells that the plan restricts.
func (p *Plan) Gates() int { return p.restrictions.Len() }

// Turns returns the number of large jobs at the head of the queue, which the plan admits by ID.
func (p *Plan) Turns() int { return p.queueHeads.Len() }

// Classify gives a job's cell and its work, as the plan reckons both.
func (p *Plan) Classify(job *protocol.JobSpec) (Cell, Work) {
	cell := Cell{Team: job.Team, Class: job.Class, Pool: poolOf(job.Need, p.Capacity)}
	entry := p.teamOrDefault(cell.Team, cell.Pool)
	cost := WorkOf(job.Tasks, amountIn(cell.Pool, job.Need), runTime(job, entry.EstimateCorrection, p.Horizon))
	if cost > entry.LargeThreshold {
		cell.Band = Large
	}
	return cell, cost
}

// Remaining gives a job's cell and the work of its tasks that are not done. seen is the
// mean run time of those that are, 0 if none is.
func (p *Plan) Remaining(job *protocol.JobSpec, unfinished int, meanRun units.Micros) (Cell, Work) {
	cell, _ := p.Classify(job)
	run := meanRun
	if run <= 0 {
		entry := p.teamOrDefault(cell.Team, cell.Pool)
		run = runTime(job, entry.EstimateCorrection, p.Horizon)
	}
	return cell, WorkOf(unfinished, amountIn(cell.Pool, job.Need), run)
}
