package admission

import (
	"maps"
	"slices"
)

// maxQueueHeads bounds the large jobs that one plan admits by ID.
const maxQueueHeads = 16

// largeCredit is what the large jobs of a cell may still take.
type largeCredit struct {
	cell Cell
	work Work
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
