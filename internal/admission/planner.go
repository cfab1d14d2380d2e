package admission

import "dunestand/internal/units"

// Load is the unfinished work that was admitted already.
type Load struct {
	Cell Cell
	Work Work
}

// Measurement is what the leader knows when it makes a plan.
type Measurement struct {
	Now     units.Micros
	Fleet   Amounts // of the machines that are there
	Loads   []Load
	Waiting WaitingDemand
	// Corrections are those of the teams; one that is missing has exactEstimates.
	Corrections map[string]PerMille
}

// Planner makes one leader's plans. It is not safe for concurrent use.
type Planner struct {
	options Options
	teams   []Team
	current plannerState
}

// plannerState is what the next plan continues from.
type plannerState struct {
	plan       *Plan // nil: there was none
	windows    map[Cell]window
	queueHeads map[string]bool // IDs of the large jobs that the plan admits
}

// Proposal is a plan that was made and may yet be written.
type Proposal struct {
	Plan      *Plan
	Standings []Standing // of the teams, by which the plan was made
	next      plannerState
}

// NewPlanner makes a planner that goes on from the plan in force, if there is one: the
// windows stay where they are.
func NewPlanner(options Options, teams []Team, former *Plan, now units.Micros) *Planner {
	p := &Planner{options: options, teams: teams}
	p.current = plannerState{plan: former, windows: map[Cell]window{}, queueHeads: map[string]bool{}}
	if former != nil {
		for cell, restriction := range former.allRestrictions() {
			p.current.windows[cell] = window{start: restriction.Start, width: restriction.Width, since: now}
		}
		for id := range former.allQueueHeads() {
			p.current.queueHeads[id] = true
		}
	}
	return p
}

// Next makes the next plan from what was measured. Nothing is taken over from it before
// Accept.
func (p *Planner) Next(version, fencingToken uint64, measurement Measurement) Proposal {
	plan := newPlan(version, fencingToken, p.options.Horizon, p.capacity(measurement.Fleet))
	if former := p.current.plan; former != nil {
		plan.teams, plan.restrictions = former.teams, former.restrictions
	}
	builder := &planBuilder{
		planner:      p,
		plan:         plan,
		measurement:  measurement,
		restrictions: map[Cell]CellRestriction{},
		credits:      map[Cell]Work{},
		next:         plannerState{plan: plan, windows: map[Cell]window{}, queueHeads: map[string]bool{}},
	}
	for pool := range Pool(numPools) {
		builder.sharePool(pool)
	}
	builder.selectQueueHeads()
	plan.setRestrictions(builder.restrictions)
	return Proposal{Plan: plan, Standings: builder.usages, next: builder.next}
}

// Accept takes over that a proposal was written: the next plan goes on from it.
func (p *Planner) Accept(proposal Proposal) { p.current = proposal.next }

// capacity is what is divided: the fleet, and at least what is guaranteed.
func (p *Planner) capacity(fleet Amounts) Amounts {
	for pool, guaranteed := range totalGuarantee(p.teams) {
		fleet[pool] = max(fleet[pool], guaranteed)
	}
	return fleet
}
