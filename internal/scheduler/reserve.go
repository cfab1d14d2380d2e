package scheduler

import (
	"cmp"
	"slices"
)

// reserve reserves the free capacity of up to n machines for a job: otherwise smaller tasks
// would keep taking it before a task of the job fits. It chooses the machines with the largest
// capacity, where tasks end most often, and among those of equal capacity the ones with the
// most free. On a machine whose services leave no room for the task it never fits.
func (p *planner) reserve(jobIndex int, job *JobView, n int) {
	if p.snapshot.Partial {
		return
	}
	var machines []int
	for i := range p.snapshot.Machines {
		m := &p.snapshot.Machines[i]
		fitsNow := m.freeFor(job).Plus(m.Freeing, 1).CountFitting(job.Spec.Request) > 0
		fitsBesideServices := m.Capacity.Plus(m.Services, -1).CountFitting(job.Spec.Request) > 0
		if !m.Reserved && fitsBesideServices && !fitsNow && p.feasible(i, job) {
			machines = append(machines, i)
		}
	}
	slices.SortStableFunc(machines, func(a, b int) int {
		x, y := &p.snapshot.Machines[a], &p.snapshot.Machines[b]
		return cmp.Or(-cmp.Compare(x.Capacity.CPU, y.Capacity.CPU), -cmp.Compare(x.Free.CPU, y.Free.CPU))
	})
	for _, i := range machines[:min(len(machines), n, p.tasksWithinQuota(job))] {
		p.snapshot.Machines[i].Reserved = true
		p.decisions.Reservations = append(p.decisions.Reservations, Reservation{Machine: i, Job: jobIndex})
	}
}
