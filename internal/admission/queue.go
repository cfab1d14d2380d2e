package admission

import (
	"maps"
	"slices"
)

// maxQueueHeads bounds the large jobs that one plan admits by ID.
const maxQueueHeads = 16

// selectQueueHeads selects the large jobs that the plan admits: those that were selected
// before and still wait, then the others, the longest waiting first, while their cell has
// credit left. The last one may exceed it, and the next has to wait until that is worked off.
// The selection holds for the plans after this one even if this one is never written.
func (b *planBuilder) selectQueueHeads() {
	former := b.planner.current.queueHeads
	heads := b.next.queueHeads
	for _, job := range b.measurement.Waiting.Large {
		if former[job.ID] {
			b.selectQueueHead(job, heads)
		}
	}
	for _, job := range b.measurement.Waiting.Large {
		if !former[job.ID] && b.credits[job.Cell] > 0 {
			b.selectQueueHead(job, heads)
		}
	}
	b.planner.current.queueHeads = heads
	b.plan.setQueueHeads(slices.Sorted(maps.Keys(heads)))
}

// selectQueueHead adds a job to the heads and charges it to its cell, if the cell is
// restricted and there are not too many.
func (b *planBuilder) selectQueueHead(job WaitingJob, heads map[string]bool) {
	credit, restricted := b.credits[job.Cell]
	if !restricted || heads[job.ID] || len(heads) == maxQueueHeads {
		return
	}
	heads[job.ID] = true
	b.credits[job.Cell] = credit - job.Cost
}
