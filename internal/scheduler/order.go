package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
)

// jobOrder gives the places of the jobs in the snapshot, the one that goes first first.
func (p *planner) jobOrder() []int {
	order := make([]int, len(p.snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareJobs(&p.snapshot.Jobs[a], &p.snapshot.Jobs[b]) })
	return order
}

func compareJobs(a, b *JobView) int {
	urgent := func(j *JobView) int {
		if j.Spec.Priority >= protocol.High {
			return int(j.Spec.Priority)
		}
		return 0
	}
	if a.Starved && b.Starved {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	}
	return cmp.Or(
		-compareBools(a.Starved, b.Starved),
		-cmp.Compare(urgent(a), urgent(b)),
		compareBools(a.MissesDeadline, b.MissesDeadline),
		-compareBools(a.WithinGuarantee, b.WithinGuarantee),
		-cmp.Compare(a.Spec.Priority, b.Spec.Priority),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
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
