package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// MinCycleInterval is the least time between two scheduling cycles.
const MinCycleInterval = 25 * units.Millisecond

const (
	// cycleSpacingFactor is the time from one cycle to the next, in costs of a cycle, so that
	// most of the leader's time is left for heartbeats and requests.
	cycleSpacingFactor = 8
	maxCycleSpacing    = units.Second // however much a cycle costs

	// The most placements of a cycle: what it may decide at least, one more for each
	// pendingPerPlacement pending tasks, and never more than the bound.
	minCyclePlacements  = 48
	maxCyclePlacements  = 512
	pendingPerPlacement = 8

	cycleCostWeight = 8 // a cycle counts one part in so many in the mean cost
)

// CycleDue reports whether the next cycle may run. Cycles are spaced by what they cost, so
// that under load they run less often and decide more each.
func (sc *Scheduler) CycleDue(now units.Micros) bool {
	return now-sc.lastCycle >= max(MinCycleInterval, min(sc.CycleCost*cycleSpacingFactor, maxCycleSpacing))
}

// RunCycle runs one scheduling cycle: it takes a snapshot of the state, plans on it, and
// applies the decisions to the state. answering is the machine whose heartbeat is being
// answered, nil if none is.
func (sc *Scheduler) RunCycle(now units.Micros, answering *cluster.Machine) {
	began := sc.Clock.Steady()
	snapshot, index := sc.TakeSnapshot(now, answering)
	decisions := Plan(&snapshot)
	sc.allMachinesConsidered = !decisions.Truncated
	clear(sc.reservations)
	for _, reservation := range decisions.Reservations {
		sc.reservations[index.machines[reservation.Machine]] = index.jobs[reservation.Job]
	}
	sc.apply(decisions, index, now)
	sc.lastCycle = sc.Clock.Steady()
	sc.CycleCost = ((cycleCostWeight-1)*sc.CycleCost + (sc.lastCycle - began)) / cycleCostWeight
}
