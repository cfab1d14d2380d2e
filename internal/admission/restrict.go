package admission

import (
	"cmp"
	"maps"
	"slices"
)

// restrictTeam divides a team's share among its classes, these among small and large jobs, and
// restricts the cells whose demand exceeds their part. It returns the version quota of the
// unrestricted cells: all restricted ones and these together get equal parts.
func (b *planBuilder) restrictTeam(team teamShare) Work {
	classes := map[string]cellDemand{}
	for cell, demand := range team.cells {
		classes[cell.Class] = classes[cell.Class].plus(demand)
	}
	names := slices.Sorted(maps.Keys(classes))
	requests := make([]ShareRequest, len(names))
	for i, class := range names {
		requests[i] = ShareRequest{Demand: classes[class].total(), Weight: b.planner.options.classWeight(class)}
	}
	restricted := 0
	var unrestricted Work
	for i, share := range FairShares(team.granted, requests) {
		for _, cell := range b.restrictClass(names[i], share, team.cells) {
			if cell.restricted {
				restricted++
			} else {
				unrestricted = unrestricted.Plus(cell.backlog)
			}
		}
	}
	return max(team.granted/Work(restricted+1)-unrestricted, 0)
}

// cellOutcome is what restrictClass did with a cell.
type cellOutcome struct {
	restricted bool
	backlog    Work
}

// bandWeight is the weight of small and of large jobs within a class.
const bandWeight = 1.0

// restrictClass divides a class's share among small and large jobs and restricts those whose
// demand exceeds their part.
func (b *planBuilder) restrictClass(class string, share Work, cells map[Cell]cellDemand) []cellOutcome {
	var bands []Cell
	for cell := range cells {
		if cell.Class == class {
			bands = append(bands, cell)
		}
	}
	slices.SortFunc(bands, func(x, y Cell) int { return cmp.Compare(x.Band, y.Band) })
	requests := make([]ShareRequest, len(bands))
	for i, cell := range bands {
		requests[i] = ShareRequest{Demand: cells[cell].total(), Weight: bandWeight}
	}
	outcomes := make([]cellOutcome, len(bands))
	for i, part := range FairShares(share, requests) {
		demand := cells[bands[i]]
		outcomes[i] = cellOutcome{restricted: part < demand.total(), backlog: demand.backlog}
		if outcomes[i].restricted {
			b.restrictCell(bands[i], part, demand)
		}
	}
	return outcomes
}

// restrictCell restricts a cell to its part of the share.
func (b *planBuilder) restrictCell(cell Cell, part Work, demand cellDemand) {
	credit := part - demand.backlog
	if cell.Band == Large {
		if b.credits == nil {
			b.credits = map[Cell]Work{}
		}
		b.credits[cell] = credit
		b.restrictions[cell] = CellRestriction{}
		return
	}
	now := b.measurement.Now
	former, known := b.planner.current.windows[cell]
	if !known {
		former = window{start: position(cell.Team + "/" + cell.Class), since: now - windowDwell}
	}
	next := former.next(credit, demand.waiting, now)
	b.next.windows[cell] = next
	restriction := CellRestriction{Start: next.start}
	if credit > 0 {
		restriction.Width, restriction.VersionQuota = next.width, credit
	}
	b.restrictions[cell] = restriction
}
