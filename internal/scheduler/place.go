package scheduler

import (
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// place places as many of the job's tasks as fit, on the best candidates first. Replicas of a
// service are placed one by one, since each changes the scores for the next.
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

// placeReplica places one replica of a service and reports whether it fitted anywhere.
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

// placeableTasks returns how many of the job's tasks the cycle's limit and the team's quota
// limit allow to be placed.
func (p *planner) placeableTasks(job *JobView) int {
	return min(job.Pending, p.placementsLeft, p.tasksWithinQuota(job))
}

// placeableOn returns how many of the job's tasks may be placed on a machine that is feasible
// for the job.
func (p *planner) placeableOn(job *JobView, machine int) int {
	m := &p.snapshot.Machines[machine]
	return min(p.placeableTasks(job), m.freeFor(job).CountFitting(job.Spec.Request), tasksWithinZone(job, m.Zone))
}

// placeGang places all of a gang's tasks or none. It places none while some of the gang's
// tasks may still be on machines.
func (p *planner) placeGang(jobIndex int, job *JobView) {
	if job.LiveTasks > 0 || p.tasksWithinQuota(job) < job.Pending {
		return
	}
	for _, zone := range p.gangZones(job) {
		before := p.savepoint(job)
		// A gang may exceed the cycle's limit: one larger than the limit would never start.
		p.placementsLeft = max(p.placementsLeft, job.Pending)
		job.onlyZone = zone
		p.place(jobIndex, job)
		job.onlyZone = ""
		if job.Pending == 0 {
			return
		}
		p.rollback(job, before)
	}
}

// gangZones returns the zones in which to try to place a gang, that of the best candidate first. A
// zone of "" stands for all zones together. A gang with zone affinity needs room for all its tasks in
// one zone, and that of the best candidate may have too little.
func (p *planner) gangZones(job *JobView) []string {
	if !job.Spec.ZoneAffinity {
		return []string{""}
	}
	var zones []string
	for _, c := range p.rankCandidates(job) {
		if zone := p.snapshot.Machines[c.machine].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// savepoint is a copy of the part of the planner's state that placing a job's tasks changes.
type savepoint struct {
	machines             []MachineView
	pending              int
	placementsLeft       int
	placements           int // length of Decisions.Placements
	used                 units.Resources
	usageAfterPreemption units.Resources
}

// savepoint returns the state that rollback restores. The job must have no live tasks,
// since rollback clears their counts by zone.
func (p *planner) savepoint(job *JobView) savepoint {
	return savepoint{
		machines:             slices.Clone(p.snapshot.Machines),
		pending:              job.Pending,
		placementsLeft:       p.placementsLeft,
		placements:           len(p.decisions.Placements),
		used:                 p.snapshot.Teams[job.Team].Used,
		usageAfterPreemption: p.usageAfterPreemption[job.Team],
	}
}

// rollback undoes all placements of a job since the given savepoint.
func (p *planner) rollback(job *JobView, before savepoint) {
	copy(p.snapshot.Machines, before.machines)
	job.Pending = before.pending
	p.placementsLeft = before.placementsLeft
	p.decisions.Placements = p.decisions.Placements[:before.placements]
	p.snapshot.Teams[job.Team].Used = before.used
	p.usageAfterPreemption[job.Team] = before.usageAfterPreemption
	clear(job.LiveByZone)
}

// placeTasks adds a placement of n of a job's tasks on a machine and updates the views.
func (p *planner) placeTasks(jobIndex int, job *JobView, machine, n int) {
	m := &p.snapshot.Machines[machine]
	m.Free = m.Free.Plus(job.Spec.Request, -n)
	team := &p.snapshot.Teams[job.Team]
	team.Used = team.Used.Plus(job.Spec.Request, n)
	if job.Spec.Kind == protocol.Service {
		team.Services = team.Services.Plus(job.Spec.Request, n)
		m.Services = m.Services.Plus(job.Spec.Request, n)
	}
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
