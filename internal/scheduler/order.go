package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
)

// jobOrder returns the indexes of the jobs in Snapshot.Jobs, in scheduling order.
func (p *planner) jobOrder() []int {
	order := make([]int, len(p.snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareJobs(&p.snapshot.Jobs[a], &p.snapshot.Jobs[b]) })
	return order
}

// compareJobs orders jobs in scheduling order. Starved jobs come first, since in a long
// overload the other criteria would leave some jobs waiting indefinitely. Urgent jobs come next,
// by priority. Of the others, jobs that can still meet a deadline come before jobs that miss
// theirs, whatever their priority; then jobs within their team's guaranteed quota come before
// jobs beyond it; then jobs are ordered by priority and by rank. Ties are broken by submission.
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

// compareSubmissions orders jobs by time of submission, then by ID.
func compareSubmissions(a, b *JobView) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// urgent reports whether a job's priority is protocol.High or higher.
func (j *JobView) urgent() bool { return j.Spec.Priority >= protocol.High }

// urgency returns the priority of an urgent job, and 0 for all other jobs.
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
