package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
)

// jobOrder returns the places of the jobs in the snapshot, in the order in which they go.
func (p *planner) jobOrder() []int {
	order := make([]int, len(p.snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareJobs(&p.snapshot.Jobs[a], &p.snapshot.Jobs[b]) })
	return order
}

// compareJobs orders jobs in the order in which they go. The first task of a job that has
// waited too long goes before everything: under a long overload the order alone
// would leave some jobs waiting for ever. The urgent priorities go first then.
// Of the others, what can still be in time goes before what is late anyway,
// whatever their priority; then jobs within their team's guarantee, then by
// priority, then by rank.
func compareJobs(a, b *JobView) int {
	if a.Starved && b.Starved {
		return compareSubmissions(a, b)
	}
	if c := cmp.Or(
		-compareBools(a.Starved, b.Starved),
		-cmp.Compare(a.urgency(), b.urgency()),
		compareBools(a.MissesDeadline, b.MissesDeadline),
		-compareBools(a.WithinGuarantee, b.WithinGuarantee),
		-cmp.Compare(a.Spec.Priority, b.Spec.Priority),
		cmp.Compare(a.Rank, b.Rank),
	); c != 0 {
		return c
	}
	return compareSubmissions(a, b)
}

// compareSubmissions orders jobs by when they were submitted, and by ID.
func compareSubmissions(a, b *JobView) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// urgent reports whether a job has one of the urgent priorities.
func (j *JobView) urgent() bool { return j.Spec.Priority >= protocol.High }

// urgency is the priority of an urgent job, and 0 for all others.
func (j *JobView) urgency() protocol.Priority {
	if j.urgent() {
		return j.Spec.Priority
	}
	return 0
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
