package scheduler

import (
	"slices"

	"dunestand/internal/protocol"
)

// place places as many of the job's tasks as there is room for, on the candidates in their
// order. Each replica of a service changes the order for the next one.
func (p *planner) place(jobIndex int, job *JobView) {
	if job.Spec.Kind == protocol.Service {
		for p.placeReplica(jobIndex, job) {
		}
		return
	}
	if p.placeableTasks(job) <= 0 {
		return
	}
	for _, c := range p.rankCandidates(job) {
		if n := p.placeableOn(job, c.machine); n > 0 {
			p.placeTasks(jobIndex, job, c.machine, n)
		}
	}
}

// placeReplica places one replica of a service and reports whether it could.
func (p *planner) placeReplica(jobIndex int, job *JobView) bool {
	if p.placeableTasks(job) <= 0 {
		return false
	}
	for _, c := range p.rankCandidates(job) {
		if p.placeableOn(job, c.machine) > 0 {
			p.placeTasks(jobIndex, job, c.machine, 1)
			return true
		}
	}
	return false
}

// placeableTasks returns how many of the job's tasks may be placed, wherever there is room.
func (p *planner) placeableTasks(job *JobView) int {
	return min(job.Pending, p.placementsLeft, p.tasksWithinQuota(job))
}

// placeableOn returns how many of the job's tasks may be placed on a feasible machine.
func (p *planner) placeableOn(job *JobView, machine int) int {
	m := &p.snapshot.Machines[machine]
	return min(p.placeableTasks(job), m.freeFor(job).CountFitting(job.Spec.Request), tasksWithinZone(job, m.Zone))
}

// placeGang places all of a gang's tasks or none. While some of its tasks may
// still be on machines, the rest waits for them to end.
func (p *planner) placeGang(jobIndex int, job *JobView) {
	if job.LiveTasks > 0 || p.tasksWithinQuota(job) < job.Pending {
		return
	}
	team := &p.snapshot.Teams[job.Team]
	machines, pending := slices.Clone(p.snapshot.Machines), job.Pending
	placementsLeft, placements := p.placementsLeft, len(p.decisions.Placements)
	used, usageAfterPreemption := team.Used, p.usageAfterPreemption[job.Team]

	// A gang may be larger than what is left of the cycle, or it would never start.
	p.placementsLeft = max(p.placementsLeft, pending)
	p.place(jobIndex, job)
	if job.Pending == 0 {
		return
	}

	copy(p.snapshot.Machines, machines)
	job.Pending = pending
	p.placementsLeft, p.decisions.Placements = placementsLeft, p.decisions.Placements[:placements]
	team.Used, p.usageAfterPreemption[job.Team] = used, usageAfterPreemption
	clear(job.LiveByZone)
}

// placeTasks places n of a job's tasks on a machine.
func (p *planner) placeTasks(jobIndex int, job *JobView, machine, n int) {
	m := &p.snapshot.Machines[machine]
	m.Free = m.Free.Plus(job.Spec.Request, -n)
	team := &p.snapshot.Teams[job.Team]
	team.Used = team.Used.Plus(job.Spec.Request, n)
	p.usageAfterPreemption[job.Team] = p.usageAfterPreemption[job.Team].Plus(job.Spec.Request, n)
	if job.LiveByZone != nil {
		job.LiveByZone[m.Zone] += n
	}
	if job.LiveByMachine != nil {
		job.LiveByMachine[machine] += n
	}
	job.Pending -= n
	p.placementsLeft -= n
	p.decisions.Placements = append(p.decisions.Placements, Placement{Job: jobIndex, Machine: machine, Count: n})
}
