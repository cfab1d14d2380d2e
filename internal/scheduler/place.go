package scheduler

import (
	"slices"

	"dunestand/internal/protocol"
)

// place starts as many of the job's tasks as there is room for. The companion
// is the machine with room that holds the image, else the one with most room
// (DESIGN); among several that hold it, the one that reports soonest, since starts
// travel with the answers, and then the one with most room. A slow machine comes
// last.
func (p *planner) place(i int, j *JobView) {
	oneByOne := j.Spec.Kind == protocol.Service
	for again := true; again; {
		again = false
		if min(j.Pending, p.placementsLeft, p.tasksWithinQuota(j)) <= 0 {
			return
		}
		for _, c := range p.rankCandidates(j) {
			m := &p.snapshot.Machines[c.machine]
			n := min(j.Pending, p.placementsLeft, p.tasksWithinQuota(j), m.freeFor(j).Fits(j.Spec.Request), tasksWithinZone(j, m.Zone))
			if n <= 0 {
				continue
			}
			if oneByOne { // each start changes the order of the rest
				p.placeTasks(i, j, c.machine, 1)
				again = true
				break
			}
			p.placeTasks(i, j, c.machine, n)
		}
	}
}

// placeGang starts all of a gang's tasks or none. While some of its tasks may
// still be on machines, the rest waits for them to end.
func (p *planner) placeGang(i int, j *JobView) {
	if j.LiveTasks > 0 || p.tasksWithinQuota(j) < j.Pending {
		return
	}
	machines, pending, batch, starts := slices.Clone(p.snapshot.Machines), j.Pending, p.placementsLeft, len(p.decisions.Placements)
	used, leave := p.snapshot.Teams[j.Team].Used, p.usageAfterPreemption[j.Team]
	p.placementsLeft = max(p.placementsLeft, pending)
	p.place(i, j)
	if j.Pending == 0 {
		return
	}
	copy(p.snapshot.Machines, machines)
	j.Pending, p.placementsLeft, p.decisions.Placements = pending, batch, p.decisions.Placements[:starts]
	p.snapshot.Teams[j.Team].Used, p.usageAfterPreemption[j.Team] = used, leave
	clear(j.LiveByZone)
}

func (p *planner) placeTasks(i int, j *JobView, machine, n int) {
	m := &p.snapshot.Machines[machine]
	m.Free = m.Free.Plus(j.Spec.Request, -n)
	t := &p.snapshot.Teams[j.Team]
	t.Used = t.Used.Plus(j.Spec.Request, n)
	p.usageAfterPreemption[j.Team] = p.usageAfterPreemption[j.Team].Plus(j.Spec.Request, n)
	if j.LiveByZone != nil {
		j.LiveByZone[m.Zone] += n
	}
	if j.LiveByMachine != nil {
		j.LiveByMachine[machine] += n
	}
	j.Pending -= n
	p.placementsLeft -= n
	p.decisions.Placements = append(p.decisions.Placements, Placement{Job: i, Machine: machine, Count: n})
}
