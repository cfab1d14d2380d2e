package scheduler

import (
	"cmp"
	"slices"
)

// reserve keeps the room of some machines together for a job, or small tasks would
// go on taking it bit by bit: of the largest, where tasks end most often, those
// that have most room.
func (p *planner) reserve(i int, j *JobView, n int) {
	if p.snapshot.Partial {
		return
	}
	var fit []int
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if !m.Reserved && m.Capacity.Fits(j.Spec.Request) > 0 && m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request) == 0 && p.feasible(k, j) {
			fit = append(fit, k)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int {
		x, y := &p.snapshot.Machines[a], &p.snapshot.Machines[b]
		return cmp.Or(-cmp.Compare(x.Capacity.CPU, y.Capacity.CPU), -cmp.Compare(x.Free.CPU, y.Free.CPU))
	})
	for _, k := range fit[:min(len(fit), n, p.tasksWithinQuota(j))] {
		p.snapshot.Machines[k].Reserved = true
		p.decisions.Reservations = append(p.decisions.Reservations, Reservation{Machine: k, Job: i})
	}
}
