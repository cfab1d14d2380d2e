package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// jobsPerPlan is how many jobs of the queue are planned for one machine at a time: the first
// few mostly use up its free capacity.
const jobsPerPlan = 12

// PlaceOnMachine plans for one machine between two cycles, in the order of the last one.
// Every other machine with free capacity was considered then, or when it sent its own
// heartbeat, so that this one is the best candidate whatever image it holds. It costs little
// next to a cycle: a machine whose heartbeat reports the end of a task has the next one
// in the response, however large the fleet is.
func (sc *Scheduler) PlaceOnMachine(m *cluster.Machine, now units.Micros) {
	if !sc.allMachinesConsidered || len(sc.queue) == 0 || m.Free().CPU <= 0 || !sc.MachineSchedulable(m, now) {
		return
	}
	snapshot := Snapshot{MaxPlacements: maxCyclePlacements, Partial: true}
	teams := sc.snapshotTeams(&snapshot)
	snapshot.Machines = []MachineView{sc.machineView(m, now, true)}
	view := &snapshot.Machines[0]
	view.Headroom = sc.headroom[m]
	queue := sc.queueFor(m, now)
	for len(queue) > 0 && view.Free.CPU > 0 {
		n := min(len(queue), jobsPerPlan)
		sc.placeJobsOnMachine(queue[:n], m, &snapshot, teams, now)
		queue = queue[n:]
	}
}

// queueFor returns the part of the queue that may be placed on a machine: where its free
// capacity is reserved for a job, none that comes after that job.
func (sc *Scheduler) queueFor(m *cluster.Machine, now units.Micros) []queuedJob {
	reservedFor := sc.reservations[m]
	if reservedFor == nil || !jobSchedulable(reservedFor, now) {
		return sc.queue
	}
	i := slices.IndexFunc(sc.queue, func(q queuedJob) bool { return q.job == reservedFor })
	if i < 0 {
		return sc.queue
	}
	return sc.queue[:i+1]
}

// placeJobsOnMachine plans a part of the queue for the one machine of a snapshot, and applies
// the decisions. teams holds the teams' places in the snapshot.
func (sc *Scheduler) placeJobsOnMachine(queue []queuedJob, m *cluster.Machine, snapshot *Snapshot, teams map[string]int, now units.Micros) {
	snapshot.Jobs = snapshot.Jobs[:0]
	index := &snapshotIndex{machines: []*cluster.Machine{m}}
	for _, queued := range queue {
		job := queued.job
		if snapshot.Machines[0].Free.CountFitting(job.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !jobSchedulable(job, now) {
			continue
		}
		view := queued.view
		if view.Starved && len(job.LiveAttempts) > 0 {
			continue // it has begun; the next cycle finds the place of the rest
		}
		view.Pending, view.LiveTasks, view.Team = job.Pending(), len(job.LiveAttempts), teams[job.Spec.Team]
		fillTopology(&view, job)
		if view.LiveByMachine != nil {
			continue // replicas are placed with all machines in view
		}
		snapshot.Jobs = append(snapshot.Jobs, view)
		index.jobs = append(index.jobs, job)
	}
	if len(snapshot.Jobs) > 0 {
		sc.apply(Plan(snapshot), index, now)
	}
}
