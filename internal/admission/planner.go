package admission

import "dunestand/internal/units"

// FlowBacklog is the admitted and unfinished work of a flow.
type FlowBacklog struct {
	Flow Flow
	Work Work
}

// Measurement is the input of Planner.Next.
type Measurement struct {
	Now           units.Micros
	FleetCapacity Amounts // capacity of the machines
	Backlog       []FlowBacklog
	Waiting       WaitingDemand
	// EstimateCorrections are the corrections by team, from EstimateCorrections.Snapshot. The
	// estimates of a team that is not in the map are not corrected.
	EstimateCorrections map[string]PerMille
}

// Planner makes the plans of one leader: it divides the capacity among teams, classes and
// bands, and advances the windows and the queue of large jobs from plan to plan. It is not safe
// for concurrent use.
type Planner struct {
	options Options
	teams   []Team
	current plannerState
}

// plannerState is the state that the next plan continues from.
type plannerState struct {
	plan       *Plan // nil: none
	windows    map[Flow]window
	queueHeads map[string]bool // IDs of the large jobs at the head of the queue
}

// Proposal is a plan that is not written to the key-value store yet.
type Proposal struct {
	Plan   *Plan
	Usages []Usage // one for each team and pool of the plan
	next   plannerState
}

// NewPlanner returns a planner. The next plan continues from the windows and the queue heads of
// the former plan, which is in force at time now; former is nil if there is none.
func NewPlanner(options Options, teams []Team, former *Plan, now units.Micros) *Planner {
	p := &Planner{options: options, teams: teams}
	p.current = plannerState{plan: former, windows: map[Flow]window{}, queueHeads: map[string]bool{}}
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

// Next returns a proposal for the next plan, with a version and the leader's fencing token.
// Until Accept is called, further proposals continue from the same plan as this one, except
// that they keep the queue heads of this one.
func (p *Planner) Next(version, fencingToken uint64, measurement Measurement) Proposal {
	plan := newPlan(version, fencingToken, p.options.Horizon, p.capacity(measurement.FleetCapacity))
	if former := p.current.plan; former != nil {
		plan.teams, plan.restrictions = former.teams, former.restrictions
	}
	builder := &planBuilder{
		planner:      p,
		plan:         plan,
		measurement:  measurement,
		restrictions: map[Flow]FlowRestriction{},
		next:         plannerState{plan: plan, windows: map[Flow]window{}, queueHeads: map[string]bool{}},
	}
	for pool := range Pool(numPools) {
		builder.sharePool(pool)
	}
	builder.selectQueueHeads()
	plan.setRestrictions(builder.restrictions)
	return Proposal{Plan: plan, Usages: builder.usages, next: builder.next}
}

// Accept records that a proposal was written. The next plan continues from it.
func (p *Planner) Accept(proposal Proposal) { p.current = proposal.next }

// capacity returns the capacity that is divided among the teams: that of the fleet, but at
// least the sum of the guaranteed quotas.
func (p *Planner) capacity(fleet Amounts) Amounts {
	for pool, guaranteed := range totalGuarantee(p.teams) {
		fleet[pool] = max(fleet[pool], guaranteed)
	}
	return fleet
}
