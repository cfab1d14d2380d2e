package admission

import (
	"cmp"
	"maps"
	"slices"

	"dunestand/internal/units"
)

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

// window is the part of the ring that a restriction admits, and since when.
type window struct {
	start uint32
	width uint32
	since units.Micros
}

// Proposal is a plan that was made and may yet be written.
type Proposal struct {
	Plan      *Plan
	Standings []Standing // of the teams, by which the plan was made
	next      plannerState
}

// maxQueueHeads bounds the large jobs that one plan admits by ID.
const maxQueueHeads = 16

// minWindowWidth is the least window of a cell that has credit: it bounds the time
// until it has come round.
const minWindowWidth = ringSize / 64

// largeFraction is the part of a team's share of the horizon beyond which a job is large.
const largeFraction = 8

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
func (p *Planner) Next(version, term uint64, m Measurement) Proposal {
	plan := newPlan(version, term, p.options.Horizon, p.capacity(m.Fleet))
	if former := p.current.plan; former != nil {
		plan.teams, plan.restrictions = former.teams, former.restrictions
	}
	builder := &planBuilder{
		planner:      p,
		plan:         plan,
		measurement:  m,
		restrictions: map[Cell]CellRestriction{},
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
	var guaranteed Amounts
	for _, team := range p.teams {
		for pool, amount := range team.Guarantee {
			guaranteed[pool] += amount
		}
	}
	for pool := range fleet {
		fleet[pool] = max(fleet[pool], guaranteed[pool])
	}
	return fleet
}

// planBuilder makes one plan.
type planBuilder struct {
	planner      *Planner
	plan         *Plan
	measurement  Measurement
	restrictions map[Cell]CellRestriction
	credits      []largeCredit
	next         plannerState

	usages []Standing
}

// largeCredit is what the large jobs of a cell may still take.
type largeCredit struct {
	cell Cell
	work Work
}

// cellDemand is what a cell has and wants.
type cellDemand struct {
	backlog Work
	waiting Work
}

func (d cellDemand) total() Work { return d.backlog.Plus(d.waiting) }

func (d cellDemand) plus(other cellDemand) cellDemand {
	return cellDemand{backlog: d.backlog.Plus(other.backlog), waiting: d.waiting.Plus(other.waiting)}
}

// sharePool divides one resource among the teams.
func (b *planBuilder) sharePool(pool Pool) {
	total := b.workWithinHorizon(b.plan.Capacity[pool])
	if total == 0 {
		return
	}
	cells := b.demands(pool)
	requests := make([]ShareRequest, len(b.planner.teams))
	demands := make([]cellDemand, len(b.planner.teams))
	weights := 0.0
	for i, team := range b.planner.teams {
		for _, demand := range cells[team.Name] {
			demands[i] = demands[i].plus(demand)
		}
		requests[i] = ShareRequest{
			Demand:   min(demands[i].total(), b.workWithinHorizon(team.Limit[pool])),
			Weight:   b.planner.options.teamWeight(team, pool),
			MinShare: b.workWithinHorizon(team.Guarantee[pool]),
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
			share:       shares[i],
			guaranteed:  requests[i].MinShare,
			fairShare:   Work(float64(total) * requests[i].Weight / weights),
			unrequested: Work(float64(unrequested) * requests[i].Weight / weights),
			limit:       b.workWithinHorizon(team.Limit[pool]),
			demand:      demands[i],
			cells:       cells[team.Name],
		})
	}
}

// workWithinHorizon is the work that an amount of a resource does within the horizon.
func (b *planBuilder) workWithinHorizon(amount units.Amount) Work {
	return WorkOf(1, amount, b.plan.Horizon)
}

// demands gives what each cell of a pool has and wants, by team.
func (b *planBuilder) demands(pool Pool) map[string]map[Cell]cellDemand {
	teams := map[string]map[Cell]cellDemand{}
	add := func(cell Cell, demand cellDemand) {
		if cell.Pool != pool {
			return
		}
		if teams[cell.Team] == nil {
			teams[cell.Team] = map[Cell]cellDemand{}
		}
		teams[cell.Team][cell] = teams[cell.Team][cell].plus(demand)
	}
	for _, load := range b.measurement.Loads {
		add(load.Cell, cellDemand{backlog: load.Work})
	}
	for cell, work := range b.measurement.Waiting.Work {
		add(cell, cellDemand{waiting: work})
	}
	return teams
}

// teamShare is what a team gets in a pool.
type teamShare struct {
	share       Work // by what it has and wants now
	guaranteed  Work // within the horizon, by its guaranteed quota
	fairShare   Work // if everybody wanted all
	unrequested Work // its part of what nobody wants now
	limit       Work
	demand      cellDemand
	cells       map[Cell]cellDemand
}

// contested tells whether the team wants more than it gets.
func (s teamShare) contested() bool { return s.share < s.demand.total() }

// setTeam writes what the plan says of a team in a pool. As long as it gets what it
// wants, nothing is restricted, and its quota is what it may take until the next version:
// at least what is left of its guarantee, whatever others do.
func (b *planBuilder) setTeam(team Team, pool Pool, s teamShare) {
	entry := TeamEntry{
		LargeThreshold:     max(s.fairShare, s.guaranteed)/largeFraction + 1,
		EstimateCorrection: cmp.Or(b.measurement.Corrections[team.Name], exactEstimates),
	}
	if s.contested() {
		entry.Quota = b.restrictTeam(s)
	} else {
		entry.Quota = max(min(s.unrequested, s.limit-s.demand.backlog), s.guaranteed-s.demand.backlog, 0)
	}
	b.plan.setTeam(teamKey{Team: team.Name, Pool: pool}, entry)
	b.usages = append(b.usages, s.usage(team.Name, pool))
}

// restrictTeam divides a team's share among its classes and these among small and large jobs,
// and restricts the cells that want more than they get. It gives the quota of the others.
func (b *planBuilder) restrictTeam(s teamShare) Work {
	classes := map[string]cellDemand{}
	for cell, demand := range s.cells {
		classes[cell.Class] = classes[cell.Class].plus(demand)
	}
	names := slices.Sorted(maps.Keys(classes))
	requests := make([]ShareRequest, len(names))
	for i, class := range names {
		requests[i] = ShareRequest{Demand: classes[class].total(), Weight: b.planner.options.classWeight(class)}
	}
	restricted := 0
	var unrestricted Work
	for i, share := range FairShares(s.share, requests) {
		for _, cell := range b.restrictClass(names[i], share, s.cells) {
			if cell.restricted {
				restricted++
			} else {
				unrestricted = unrestricted.Plus(cell.backlog)
			}
		}
	}
	return max(s.share/Work(restricted+1)-unrestricted, 0)
}

// cellOutcome tells whether a cell was restricted.
type cellOutcome struct {
	restricted bool
	backlog    Work
}

// bandWeight is the same for small and large jobs.
const bandWeight = 1.0

// restrictClass divides a class's share among small and large jobs.
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

// restrictCell restricts a cell to its part.
func (b *planBuilder) restrictCell(cell Cell, part Work, demand cellDemand) {
	credit := part - demand.backlog
	if cell.Band == Large {
		b.credits = append(b.credits, largeCredit{cell: cell, work: credit})
		b.restrictions[cell] = CellRestriction{}
		return
	}
	w, known := b.planner.current.windows[cell]
	if !known {
		w = window{start: position(cell.Team + "/" + cell.Class), since: b.measurement.Now - windowDwell}
	}
	restriction := CellRestriction{Start: w.start}
	if credit <= 0 {
		w.since = b.measurement.Now // the window waits where it is
	} else {
		if w.width == 0 || b.measurement.Now-w.since >= windowDwell {
			w.start = (w.start + w.width) % ringSize
			w.width = windowWidth(credit, demand.waiting)
			w.since = b.measurement.Now
		}
		restriction = CellRestriction{Start: w.start, Width: w.width, Quota: credit}
	}
	b.next.windows[cell] = w
	b.restrictions[cell] = restriction
}

// windowWidth is the part of the ring on which about as much work waits as may be
// admitted.
func windowWidth(credit, waiting Work) uint32 {
	if waiting <= credit {
		return ringSize
	}
	return max(uint32(float64(ringSize)*float64(credit)/float64(waiting)), minWindowWidth)
}

// selectQueueHeads selects large jobs, the longest waiting first, while their cell has credit
// left: the last one may exceed it, and the next has to wait until that is worked off.
func (b *planBuilder) selectQueueHeads() {
	credit := map[Cell]Work{}
	for _, c := range b.credits {
		credit[c.cell] = c.work
	}
	heads := b.next.queueHeads
	for _, kept := range []bool{true, false} { // selected ones stay selected
		for _, job := range b.measurement.Waiting.Large {
			left, restricted := credit[job.Cell]
			if !restricted || heads[job.ID] || b.planner.current.queueHeads[job.ID] != kept || len(heads) == maxQueueHeads {
				continue
			}
			if kept || left > 0 {
				heads[job.ID] = true
				credit[job.Cell] = left - job.Cost
			}
		}
	}
	b.planner.current.queueHeads = heads
	b.plan.setQueueHeads(slices.Sorted(maps.Keys(heads)))
}
