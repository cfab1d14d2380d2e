package scheduler

import (
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
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
	before := p.checkpoint(job)
	// A gang may be larger than what is left of the cycle, or it would never start.
	p.placementsLeft = max(p.placementsLeft, job.Pending)
	p.place(jobIndex, job)
	if job.Pending > 0 {
		p.rollback(job, before)
	}
}

// checkpoint is what placing a job's tasks changes.
type checkpoint struct {
	machines             []MachineView
	pending              int
	placementsLeft       int
	placements           int // made so far
	used                 units.Resources
	usageAfterPreemption units.Resources
}

// checkpoint returns what rollback needs to undo all placements of a job from here on. None of
// the job's tasks may be on a machine.
func (p *planner) checkpoint(job *JobView) checkpoint {
	return checkpoint{
		machines:             slices.Clone(p.snapshot.Machines),
		pending:              job.Pending,
		placementsLeft:       p.placementsLeft,
		placements:           len(p.decisions.Placements),
		used:                 p.snapshot.Teams[job.Team].Used,
		usageAfterPreemption: p.usageAfterPreemption[job.Team],
	}
}

// rollback undoes all placements of a job since a checkpoint.
func (p *planner) rollback(job *JobView, before checkpoint) {
	copy(p.snapshot.Machines, before.machines)
	job.Pending = before.pending
	p.placementsLeft = before.placementsLeft
	p.decisions.Placements = p.decisions.Placements[:before.placements]
	p.snapshot.Teams[job.Team].Used = before.used
	p.usageAfterPreemption[job.Team] = before.usageAfterPreemption
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
