package admission

import (
	"cmp"
	"maps"
	"slices"
)

// restrictTeam divides a team's share among its classes and the share of each class among its
// bands, and restricts the flows whose demand exceeds their part. It returns the version quota
// of the unrestricted flows: the team's share is divided into equal parts, one for each
// restricted flow and one for all unrestricted flows together, whose backlog is subtracted.
func (b *planBuilder) restrictTeam(team teamShare) Work {
	classes := map[string]flowDemand{}
	for flow, demand := range team.flows {
		classes[flow.Class] = classes[flow.Class].plus(demand)
	}
	names := slices.Sorted(maps.Keys(classes))
	requests := make([]ShareRequest, len(names))
	for i, class := range names {
		requests[i] = ShareRequest{Demand: classes[class].total(), Weight: b.planner.options.classWeight(class)}
	}
	restricted := 0
	var unrestricted Work
	for i, share := range FairShares(team.granted, requests) {
		for _, flow := range b.restrictClass(names[i], share, team.flows) {
			if flow.restricted {
				restricted++
			} else {
				unrestricted = unrestricted.Plus(flow.backlog)
			}
		}
	}
	return max(team.granted/Work(restricted+1)-unrestricted, 0)
}

// flowOutcome is the result of restrictClass for one flow.
type flowOutcome struct {
	restricted bool
	backlog    Work
}

// bandWeight is the weight of each band within a class.
const bandWeight = 1.0

// restrictClass divides the share of a class among its bands and restricts the flows whose
// demand exceeds their part.
func (b *planBuilder) restrictClass(class string, share Work, flows map[Flow]flowDemand) []flowOutcome {
	var bands []Flow
	for flow := range flows {
		if flow.Class == class {
			bands = append(bands, flow)
		}
	}
	slices.SortFunc(bands, func(x, y Flow) int { return cmp.Compare(x.Band, y.Band) })
	requests := make([]ShareRequest, len(bands))
	for i, flow := range bands {
		requests[i] = ShareRequest{Demand: flows[flow].total(), Weight: bandWeight}
	}
	outcomes := make([]flowOutcome, len(bands))
	for i, part := range FairShares(share, requests) {
		demand := flows[bands[i]]
		outcomes[i] = flowOutcome{restricted: part < demand.total(), backlog: demand.backlog}
		if outcomes[i].restricted {
			b.restrictFlow(bands[i], part, demand)
		}
	}
	return outcomes
}

// restrictFlow restricts a flow to its part of the share. Its credit is the work that it may
// still admit: the part that its backlog does not use up.
func (b *planBuilder) restrictFlow(flow Flow, part Work, demand flowDemand) {
	credit := part - demand.backlog
	if flow.Band == BandLarge {
		if b.credits == nil {
			b.credits = map[Flow]Work{}
		}
		b.credits[flow] = credit
		b.restrictions[flow] = FlowRestriction{}
		return
	}
	now := b.measurement.Now
	former, known := b.planner.current.windows[flow]
	if !known {
		former = window{start: position(flow.Team + "/" + flow.Class), since: now - windowDwell}
	}
	next := former.next(credit, demand.waiting, now)
	b.next.windows[flow] = next
	restriction := FlowRestriction{Start: next.start}
	if credit > 0 {
		restriction.Width, restriction.VersionQuota = next.width, credit
	}
	b.restrictions[flow] = restriction
}
