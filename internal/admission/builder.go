package admission

import (
	"cmp"

	"dunestand/internal/units"
)

// planBuilder builds one plan from one measurement.
type planBuilder struct {
	planner      *Planner
	plan         *Plan
	measurement  Measurement
	restrictions map[Flow]FlowRestriction
	credits      map[Flow]Work // credits of the restricted flows of large jobs; nil: none
	next         plannerState

	usages []Usage
}

// flowDemand is the demand of one flow, or the sum over several.
type flowDemand struct {
	backlog Work // work of unfinished jobs
	waiting Work // work of jobs on the waiting list
}

// total returns backlog and waiting work together, at most MaxWork.
func (d flowDemand) total() Work { return d.backlog.Plus(d.waiting) }

// plus returns the sum of two demands.
func (d flowDemand) plus(other flowDemand) flowDemand {
	return flowDemand{backlog: d.backlog.Plus(other.backlog), waiting: d.waiting.Plus(other.waiting)}
}

// sharePool divides the capacity of one pool among the teams and sets their entries in the plan.
func (b *planBuilder) sharePool(pool Pool) {
	total := b.workWithinHorizon(b.plan.Capacity[pool])
	if total == 0 {
		return
	}
	flows := b.demands(pool)
	requests := make([]ShareRequest, len(b.planner.teams))
	demands := make([]flowDemand, len(b.planner.teams))
	weights := 0.0
	for i, team := range b.planner.teams {
		for _, demand := range flows[team.Name] {
			demands[i] = demands[i].plus(demand)
		}
		requests[i] = ShareRequest{
			Demand:   min(demands[i].total(), b.workWithinHorizon(team.QuotaLimit[pool])),
			Weight:   b.planner.options.teamWeight(team, pool),
			MinShare: b.workWithinHorizon(team.GuaranteedQuota[pool]),
		}
		weights += requests[i].Weight
	}
	shares := FairShares(total, requests)
	unrequested := total
	for _, share := range shares {
		unrequested -= share
	}
	for i, team := range b.planner.teams {
		b.setTeam(team, pool, teamShare{
			granted:     shares[i],
			guaranteed:  requests[i].MinShare,
			weighted:    Work(float64(total) * requests[i].Weight / weights),
			unrequested: Work(float64(unrequested) * requests[i].Weight / weights),
			limit:       b.workWithinHorizon(team.QuotaLimit[pool]),
			demand:      demands[i],
			flows:       flows[team.Name],
		})
	}
}

// workWithinHorizon returns the work that an amount of a resource can do within the horizon.
func (b *planBuilder) workWithinHorizon(amount units.Amount) Work {
	return WorkOf(1, amount, b.plan.Horizon)
}

// demands returns the demand of each flow of a pool, grouped by team.
func (b *planBuilder) demands(pool Pool) map[string]map[Flow]flowDemand {
	teams := map[string]map[Flow]flowDemand{}
	add := func(flow Flow, demand flowDemand) {
		if flow.Pool != pool {
			return
		}
		if teams[flow.Team] == nil {
			teams[flow.Team] = map[Flow]flowDemand{}
		}
		teams[flow.Team][flow] = teams[flow.Team][flow].plus(demand)
	}
	for _, backlog := range b.measurement.Backlog {
		add(backlog.Flow, flowDemand{backlog: backlog.Work})
	}
	for flow, work := range b.measurement.Waiting.Work {
		add(flow, flowDemand{waiting: work})
	}
	return teams
}

// teamShare is the share of a team in a pool and what it is derived from. All amounts of work
// are within the horizon.
type teamShare struct {
	granted     Work // the max-min fair share
	guaranteed  Work // capacity of the guaranteed quota
	weighted    Work // part of the whole capacity in proportion to the team's weight
	unrequested Work // part of the unrequested capacity in proportion to the team's weight
	limit       Work // capacity of the quota limit
	demand      flowDemand
	flows       map[Flow]flowDemand
}

// demandExceedsShare reports whether the demand of the team exceeds its share.
func (s teamShare) demandExceedsShare() bool { return s.granted < s.demand.total() }

// largeDivisor sets the size of large jobs: a job is large if its work exceeds the greater of the
// team's weighted share and its guaranteed quota, divided by largeDivisor.
const largeDivisor = 8

// setTeam sets a team's entry in the plan. A team whose demand is met is not restricted: its
// version quota is its part of the unrequested capacity, within its quota limit, and at least
// the unused part of its guaranteed quota, whatever other teams request.
func (b *planBuilder) setTeam(team Team, pool Pool, share teamShare) {
	entry := TeamEntry{
		LargeThreshold:     max(share.weighted, share.guaranteed)/largeDivisor + 1,
		EstimateCorrection: cmp.Or(b.measurement.EstimateCorrections[team.Name], exactEstimates),
	}
	if share.demandExceedsShare() {
		entry.VersionQuota = b.restrictTeam(share)
	} else {
		entry.VersionQuota = max(min(share.unrequested, share.limit-share.demand.backlog), share.guaranteed-share.demand.backlog, 0)
	}
	b.plan.setTeam(teamKey{Team: team.Name, Pool: pool}, entry)
	b.usages = append(b.usages, share.usage(team.Name, pool))
}
