package scheduler

import (
	"math"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// UnplaceableTasks are waiting tasks of one job for which no machine has room that Plan would use.
type UnplaceableTasks struct {
	Spec         *protocol.JobSpec
	Count        int
	WaitingSince units.Micros // steady time, see cluster.Job.WaitingSince
	// Fallback is set for all tasks of a gang, wherever they fit together. They take the place of the
	// preceding element, the tasks of the gang that have no room in the zone with room for the others.
	Fallback bool

	view JobView // with the tasks that do have room counted as live
}

// TasksWithinZone returns how many of the tasks may be placed in a zone, given the job's tasks that
// are live or have room.
func (u *UnplaceableTasks) TasksWithinZone(zone string) int {
	return max(0, min(u.Count, tasksWithinZone(&u.view, zone)))
}

// RoomCheck is the result of Scheduler.CheckRoom.
type RoomCheck struct {
	// Unplaceable are the tasks without room, by job in scheduling order.
	Unplaceable []UnplaceableTasks
	// QuotaLeft is what the placed tasks and those that have room leave of the quota limits, by team.
	// It suffices for the unplaceable tasks of each single job.
	QuotaLeft map[string]units.Resources
	// Claimed holds the IDs of the machines whose free capacity waiting tasks are going to use.
	Claimed map[string]bool
}

// CheckRoom finds the waiting tasks that fit on no machine, by the rules by which Plan places tasks:
// where the job's live tasks are, which machines it avoids, the free capacity of each single machine,
// headroom and quota limits. A machine counts if provides reports that it can be given work, now or
// once it has booted. Capacity that tasks being stopped hold counts as free. CheckRoom changes
// nothing, and takes the jobs in the order of the last cycle.
func (sc *Scheduler) CheckRoom(now units.Micros, provides func(m *cluster.Machine) bool) RoomCheck {
	snapshot := Snapshot{MaxPlacements: math.MaxInt, Partial: true}
	teams := sc.snapshotTeams(&snapshot)
	check := RoomCheck{QuotaLeft: map[string]units.Resources{}, Claimed: map[string]bool{}}
	jobs := sc.snapshotWaiting(&snapshot, teams, now)
	if len(jobs) == 0 {
		return check
	}
	sc.snapshotRoom(&snapshot, provides)
	p := roomPlanner{planner: newPlanner(&snapshot)}
	for i, job := range jobs {
		view := &snapshot.Jobs[i]
		if snapshot.Teams[view.Team].Blocked {
			continue
		}
		unplaceable := p.claimRoom(i, view)
		if now < job.RetryAt || !job.CanRecordNewMachine() {
			continue
		}
		for _, tasks := range unplaceable {
			tasks.WaitingSince = job.WaitingSince()
			check.Unplaceable = append(check.Unplaceable, tasks)
		}
	}
	for name, i := range teams {
		check.QuotaLeft[name] = snapshot.Teams[i].QuotaLimit.Plus(snapshot.Teams[i].Used, -1)
	}
	for _, placement := range append(p.partialGangs, p.decisions.Placements...) {
		check.Claimed[snapshot.Machines[placement.Machine].ID] = true
	}
	return check
}

// snapshotRoom adds the machines that provide capacity and have some of it free.
func (sc *Scheduler) snapshotRoom(snapshot *Snapshot, provides func(m *cluster.Machine) bool) {
	machines := sc.State.SortedMachines()
	snapshot.Machines = make([]MachineView, 0, len(machines))
	for _, m := range machines {
		free := m.Free().Plus(m.Freeing, 1)
		if free.CPU <= 0 || !provides(m) {
			continue
		}
		snapshot.Machines = append(snapshot.Machines, MachineView{
			ID:           m.ID,
			InstanceType: m.InstanceType,
			Zone:         m.Zone,
			Spot:         m.Spot,
			Schedulable:  true,
			Slow:         m.Slow,
			Capacity:     m.Capacity,
			Free:         free,
			Services:     m.Services,
			Headroom:     sc.headroom[m],
			HasImage:     noImage,
		})
	}
}

// noImage stands for HasImage where only room matters.
func noImage(string) bool { return false }

// snapshotWaiting adds the jobs that wait for placement, also those that are retried later, and
// returns them in the order of their views. Jobs with unreconciled machines are left out: their
// tasks may be running there. So are gangs with live tasks, which have to end first.
func (sc *Scheduler) snapshotWaiting(snapshot *Snapshot, teams map[string]int, now units.Micros) []*cluster.Job {
	var jobs []*cluster.Job
	for _, queued := range sc.queue {
		job := queued.job
		if !jobSchedulable(job, max(now, job.RetryAt)) || job.Spec.Kind == protocol.Gang && len(job.LiveAttempts) > 0 {
			continue
		}
		snapshot.Jobs = append(snapshot.Jobs, queued.currentView(teams))
		jobs = append(jobs, job)
	}
	return jobs
}

// roomPlanner is the planner of CheckRoom.
type roomPlanner struct {
	*planner
	partialGangs []Placement // of gangs that do not fit as a whole
	firstFree    int         // the machines before this index have no CPUs left
}

// claimRoom places a job's tasks on the machines that have room for them, and returns those left that
// the team's quota limit allows.
func (p *roomPlanner) claimRoom(jobIndex int, job *JobView) []UnplaceableTasks {
	if job.Spec.Kind == protocol.Gang {
		return p.claimGangRoom(jobIndex, job)
	}
	p.skipFullMachines()
	p.placeInOrder(jobIndex, job)
	if job.Pending == 0 {
		return nil
	}
	p.blockFullTeam(job)
	return unplaceable(job, min(job.Pending, p.tasksWithinQuota(job)))
}

// skipFullMachines advances firstFree.
func (p *roomPlanner) skipFullMachines() {
	for p.firstFree < len(p.snapshot.Machines) && p.snapshot.Machines[p.firstFree].Free.CPU <= 0 {
		p.firstFree++
	}
}

// unplaceable returns a number of a job's tasks as the unplaceable ones.
func unplaceable(job *JobView, tasks int) []UnplaceableTasks {
	if tasks <= 0 {
		return nil
	}
	return []UnplaceableTasks{{Spec: job.Spec, Count: tasks, view: *job}}
}

// claimGangRoom is claimRoom for a gang. If the gang does not fit, the room for a part of it is claimed
// nevertheless, since it starts once machines for the other tasks have been added.
func (p *roomPlanner) claimGangRoom(jobIndex int, job *JobView) []UnplaceableTasks {
	p.placeGang(jobIndex, job)
	switch {
	case job.Pending == 0, p.tasksWithinQuota(job) < job.Pending:
		return nil
	case job.Spec.ZoneAffinity:
		return p.unplaceableInZone(jobIndex, job)
	}
	p.placeInOrder(jobIndex, job)
	return unplaceable(job, job.Pending)
}

// unplaceableInZone returns the tasks of a gang with zone affinity that have no room in the zone with
// room for most of its tasks, and all its tasks as the fallback. In every zone it claims the machines
// with room for a part of the gang.
func (p *roomPlanner) unplaceableInZone(jobIndex int, job *JobView) []UnplaceableTasks {
	all := unplaceable(job, job.Pending)
	best := all
	for _, zone := range p.gangZones(job) {
		before := p.savepoint(job)
		job.onlyZone = zone
		p.placeInOrder(jobIndex, job)
		if job.Pending < best[0].Count {
			best = unplaceable(job, job.Pending)
		}
		p.partialGangs = append(p.partialGangs, p.decisions.Placements[before.placements:]...)
		job.onlyZone = ""
		p.rollback(job, before)
	}
	if best[0].Count == job.Pending {
		return all
	}
	all[0].Fallback = true
	return append(best, all...)
}

// placeInOrder places a job's tasks on the machines in the order of the snapshot, which is cheaper
// than to rank them.
func (p *roomPlanner) placeInOrder(jobIndex int, job *JobView) {
	machines := p.snapshot.Machines
	for machine := p.firstFree; machine < len(machines) && p.placeableTasks(job) > 0; machine++ {
		if machines[machine].freeFor(job).CountFitting(job.Spec.Request) == 0 || !p.feasible(machine, job) {
			continue
		}
		if n := p.placeableOn(job, machine); n > 0 {
			p.placeTasks(jobIndex, job, machine, n)
		}
	}
}
