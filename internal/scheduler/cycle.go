package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// MinCycleInterval is the minimum time from the end of a scheduling cycle to the next one.
const MinCycleInterval = 25 * units.Millisecond

const (
	// cycleSpacingFactor is the time from one cycle to the next as a multiple of CycleCost. It
	// leaves most of the leader's time for heartbeats and requests.
	cycleSpacingFactor = 8
	maxCycleSpacing    = units.Second // upper bound, whatever CycleCost is

	// The limit of a cycle's placements is minCyclePlacements, plus one for every
	// pendingPerPlacement pending tasks, up to maxCyclePlacements.
	minCyclePlacements  = 48
	maxCyclePlacements  = 512
	pendingPerPlacement = 8

	cycleCostDivisor = 8 // the latest cycle has a weight of 1/cycleCostDivisor in CycleCost
)

// CycleDue reports whether the next cycle may run. The time between cycles is proportional to
// their mean cost, so that under load cycles run less often and each places more tasks.
func (sc *Scheduler) CycleDue(now units.Micros) bool {
	return now-sc.lastCycle >= max(MinCycleInterval, min(sc.CycleCost*cycleSpacingFactor, maxCycleSpacing))
}

// RunCycle runs one scheduling cycle: it takes a snapshot of the state, plans on it, and
// applies the decisions to the state. heartbeatFrom is the machine whose heartbeat is being
// handled, nil if there is none.
func (sc *Scheduler) RunCycle(now units.Micros, heartbeatFrom *cluster.Machine) {
	began := sc.Clock.Steady()
	snapshot, index := sc.TakeSnapshot(now, heartbeatFrom)
	decisions := Plan(&snapshot)
	sc.allMachinesConsidered = !decisions.Truncated
	clear(sc.reservations)
	for _, reservation := range decisions.Reservations {
		sc.reservations[index.machines[reservation.Machine]] = index.jobs[reservation.Job]
	}
	sc.apply(decisions, index, now)
	sc.lastCycle = sc.Clock.Steady()
	sc.CycleCost = ((cycleCostDivisor-1)*sc.CycleCost + (sc.lastCycle - began)) / cycleCostDivisor
}
