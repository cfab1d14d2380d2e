package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

const (
	MinCycleInterval   = 25 * units.Millisecond // the least time between rounds
	cycleSpacingFactor = 8                      // a round's cost, this many times over, until the next
	minCyclePlacements = 48                     // starts in a round while little waits
	maxCyclePlacements = 512
)

// CycleDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (sc *Scheduler) CycleDue(now units.Micros) bool {
	return now-sc.lastCycle >= max(MinCycleInterval, min(sc.CycleCost*cycleSpacingFactor, units.Second))
}

// RunCycle plans on a snapshot and takes the outcome over into the ledger.
func (sc *Scheduler) RunCycle(now units.Micros, answering *cluster.Machine) {
	began := sc.Clock.Steady()
	s, refs := sc.TakeSnapshot(now, answering)
	wanted := Plan(&s)
	sc.allMachinesConsidered = !wanted.Truncated
	clear(sc.reservations)
	for _, h := range wanted.Reservations {
		sc.reservations[refs.machines[h.Machine]] = refs.jobs[h.Job]
	}
	sc.apply(wanted, refs, now)
	sc.lastCycle = sc.Clock.Steady()
	sc.CycleCost = (7*sc.CycleCost + (sc.lastCycle - began)) / 8
}
