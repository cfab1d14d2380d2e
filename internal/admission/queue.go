package admission

import (
	"maps"
	"slices"
)

// maxQueueHeads bounds the number of large jobs at the head of the queue in one plan.
const maxQueueHeads = 16

// selectQueueHeads selects the large jobs at the head of the queue: first those that the former
// plan selected and that still wait, then the longest-waiting ones while their flow has credit.
// The last job of a flow may exceed the credit; the next one waits until the credit is positive
// again. The following plan keeps the selection even if this one is never written.
func (b *planBuilder) selectQueueHeads() {
	former := b.planner.current.queueHeads
	heads := b.next.queueHeads
	for _, job := range b.measurement.Waiting.Large {
		if former[job.ID] {
			b.selectQueueHead(job, heads)
		}
	}
	for _, job := range b.measurement.Waiting.Large {
		if !former[job.ID] && b.credits[job.Flow] > 0 {
			b.selectQueueHead(job, heads)
		}
	}
	b.planner.current.queueHeads = heads
	b.plan.setQueueHeads(slices.Sorted(maps.Keys(heads)))
}

// selectQueueHead adds a job to the head of the queue and charges its work to the credit of its
// flow, if the flow is restricted and the head is not full.
func (b *planBuilder) selectQueueHead(job WaitingJob, heads map[string]bool) {
	credit, restricted := b.credits[job.Flow]
	if !restricted || heads[job.ID] || len(heads) == maxQueueHeads {
		return
	}
	heads[job.ID] = true
	b.credits[job.Flow] = credit - job.Cost
}
