package admission

import "dunestand/internal/units"

// CellBacklog is the unfinished work of a flow that was admitted already.
type CellBacklog struct {
	Cell Cell
	Work Work
}

// Measurement is the input of a plan.
type Measurement struct {
	Now           units.Micros
	FleetCapacity Amounts // capacity of the machines
	Backlog       []CellBacklog
	Waiting       WaitingDemand
	// EstimateCorrections are the factors by team, from EstimateCorrections.Snapshot. The estimates of
	// a team that is not in the map are taken as they are.
	EstimateCorrections map[string]PerMille
}

// Planner makes the plans of one leader: it divides capacity among teams, classes and bands,
// and moves windows and the queue on from plan to plan. It has no clock and no I/O. It is not
// safe for concurrent use.
type Planner struct {
	options Options
	teams   []Team
	current plannerState
}

// plannerState is what the next plan continues from.
type plannerState struct {
	plan       *Plan // nil: none
	windows    map[Cell]window
	queueHeads map[string]bool // IDs of the large jobs at the head of the queue
}

// Proposal is a plan that is not written yet.
type Proposal struct {
	Plan   *Plan
	Usages []Usage // of all teams and pools of the plan
	next   plannerState
}

// NewPlanner returns a planner. If there is a former plan, in force at time now, its windows
// and the head of the queue stay where they are.
func NewPlanner(options Options, teams []Team, former *Plan, now units.Micros) *Planner {
	p := &Planner{options: options, teams: teams}
	p.current = plannerState{plan: former, windows: map[Cell]window{}, queueHeads: map[string]bool{}}
	if former != nil {
		for flow, restriction := range former.allRestrictions() {
			p.current.windows[flow] = window{start: restriction.Start, width: restriction.Width, since: now}
		}
		for id := range former.allQueueHeads() {
			p.current.queueHeads[id] = true
		}
	}
	return p
}

// Next returns the next plan, with a version and the leader's fencing token. Until Accept the
// following one continues from the same plan as this one, except that the head of the queue is
// kept.
func (p *Planner) Next(version, fencingToken uint64, measurement Measurement) Proposal {
	plan := newPlan(version, fencingToken, p.options.Horizon, p.capacity(measurement.FleetCapacity))
	if former := p.current.plan; former != nil {
		plan.teams, plan.restrictions = former.teams, former.restrictions
	}
	builder := &planBuilder{
		planner:      p,
		plan:         plan,
		measurement:  measurement,
		restrictions: map[Cell]FlowRestriction{},
		next:         plannerState{plan: plan, windows: map[Cell]window{}, queueHeads: map[string]bool{}},
	}
	for pool := range Pool(numPools) {
		builder.sharePool(pool)
	}
	builder.selectQueueHeads()
	plan.setRestrictions(builder.restrictions)
	return Proposal{Plan: plan, Usages: builder.usages, next: builder.next}
}

// Accept records that a proposal was written: the next plan continues from it.
func (p *Planner) Accept(proposal Proposal) { p.current = proposal.next }

// capacity returns what is divided among the teams: the fleet, but not less than what is
// guaranteed.
func (p *Planner) capacity(fleet Amounts) Amounts {
	for pool, guaranteed := range totalGuarantee(p.teams) {
		fleet[pool] = max(fleet[pool], guaranteed)
	}
	return fleet
}
