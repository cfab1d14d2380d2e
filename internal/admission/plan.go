package admission

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// TeamEntry is the entry of a plan for one team in a pool.
type TeamEntry struct {
	VersionQuota       Work     // work that unrestricted flows may admit under this version
	LargeThreshold     Work     // jobs with more work are in BandLarge
	EstimateCorrection PerMille // mean ratio of run times to the team's estimates
}

// FlowRestriction restricts the jobs of a flow: small jobs are admitted while their position
// on the ring is in the window, large jobs once they are at the head of the queue.
type FlowRestriction struct {
	Start        uint32 // first position of the window
	Width        uint32 // number of positions in the window
	VersionQuota Work   // work that the window may admit under this version
}

// Plan decides which jobs are admitted. It is immutable and safe for concurrent use. A later
// plan has a higher version and shares the memory of unchanged entries. The zero value is not
// usable: plans are returned by Planner.Next, Decode and FallbackPlan.
type Plan struct {
	Version      uint64       // increases with every plan of the fleet
	FencingToken uint64       // fencing token of the leader that made the plan
	Horizon      units.Micros // see Options.Horizon
	Capacity     Amounts      // capacity that is divided among the teams

	teams        *iradix.Tree[TeamEntry]
	restrictions *iradix.Tree[FlowRestriction]
	queueHeads   *iradix.Tree[struct{}] // IDs of the large jobs at the head of the queue
}

// newPlan returns a plan without teams and restrictions.
func newPlan(version, fencingToken uint64, horizon units.Micros, capacity Amounts) *Plan {
	return &Plan{
		Version:      version,
		FencingToken: fencingToken,
		Horizon:      horizon,
		Capacity:     capacity,
		teams:        iradix.New[TeamEntry](),
		restrictions: iradix.New[FlowRestriction](),
		queueHeads:   iradix.New[struct{}](),
	}
}

// Team returns the entry of a team in a pool, and whether the plan has one.
func (p *Plan) Team(team string, pool Pool) (TeamEntry, bool) {
	var buffer [keyBufferSize]byte
	return p.teams.Get(teamKey{Team: team, Pool: pool}.appendKey(buffer[:0]))
}

// teamOrDefault returns the entry of a team in a pool. For a team without an entry no job is
// large, and estimates are not corrected.
func (p *Plan) teamOrDefault(team string, pool Pool) TeamEntry {
	if entry, known := p.Team(team, pool); known {
		return entry
	}
	return TeamEntry{LargeThreshold: MaxWork, EstimateCorrection: exactEstimates}
}

// Restriction returns the restriction that applies to a flow, and the flow that the
// restriction is stored for: the same one, or the one for all other classes of the team. The
// last result is false if the flow is not restricted.
func (p *Plan) Restriction(flow Flow) (FlowRestriction, Flow, bool) {
	var buffer [keyBufferSize]byte
	if restriction, ok := p.restrictions.Get(flow.appendKey(buffer[:0])); ok {
		return restriction, flow, true
	}
	flow.Class = ""
	restriction, ok := p.restrictions.Get(flow.appendKey(buffer[:0]))
	return restriction, flow, ok
}

// AtQueueHead reports whether a large job is at the head of the queue. The plan admits such a
// job by its ID.
func (p *Plan) AtQueueHead(id string) bool {
	_, found := p.queueHeads.Get([]byte(id))
	return found
}

// NumRestrictedFlows returns the number of flows that the plan restricts.
func (p *Plan) NumRestrictedFlows() int { return p.restrictions.Len() }

// NumQueueHeads returns the number of large jobs at the head of the queue.
func (p *Plan) NumQueueHeads() int { return p.queueHeads.Len() }

// Classify returns the flow of a job and its expected work.
func (p *Plan) Classify(job *protocol.JobSpec) (Flow, Work) {
	flow := Flow{Team: job.Team, Class: job.Class, Pool: poolOf(job.Request, p.Capacity)}
	entry := p.teamOrDefault(flow.Team, flow.Pool)
	cost := WorkOf(job.Tasks, amountIn(flow.Pool, job.Request), runTime(job, entry.EstimateCorrection, p.Horizon))
	if cost > entry.LargeThreshold {
		flow.Band = BandLarge
	}
	return flow, cost
}

// ClassifyRemaining returns the flow of a job and the expected work of its unfinished tasks.
// meanRun is the mean run time of the finished tasks, 0 if there are none.
func (p *Plan) ClassifyRemaining(job *protocol.JobSpec, unfinished int, meanRun units.Micros) (Flow, Work) {
	flow, _ := p.Classify(job)
	run := meanRun
	if run <= 0 {
		entry := p.teamOrDefault(flow.Team, flow.Pool)
		run = runTime(job, entry.EstimateCorrection, p.Horizon)
	}
	return flow, WorkOf(unfinished, amountIn(flow.Pool, job.Request), run)
}
