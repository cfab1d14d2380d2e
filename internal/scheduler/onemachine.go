package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// jobsPerPlan is the number of queued jobs that are planned together for one machine: the
// first few jobs usually use up its free capacity.
const jobsPerPlan = 12

// PlaceOnMachine plans for one machine, whose heartbeat is being handled, between two cycles.
// It takes the queue of the last cycle in its order. Every other machine with free capacity was
// considered in that cycle or while its own heartbeat was handled, so this machine is the best
// candidate whether it holds a job's image or not. The cost is small compared with a cycle and
// does not grow with the fleet: the response to a heartbeat that reports the end of a task can
// carry the next one. It does nothing if the last cycle did not consider every machine.
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

// queueFor returns the part of the queue that may be placed on a machine. If the machine is
// reserved for a job, the part ends with that job.
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

// placeJobsOnMachine plans a part of the queue for the only machine of a snapshot, and applies
// the decisions. teams holds the teams' indexes in the snapshot, by name.
func (sc *Scheduler) placeJobsOnMachine(queue []queuedJob, m *cluster.Machine, snapshot *Snapshot, teams map[string]int, now units.Micros) {
	snapshot.Jobs = snapshot.Jobs[:0]
	index := &snapshotIndex{machines: []*cluster.Machine{m}}
	for _, queued := range queue {
		job := queued.job
		if snapshot.Machines[0].Free.CountFitting(job.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !jobSchedulable(job, now) {
			continue
		}
		if queued.view.Starved && len(job.LiveAttempts) > 0 {
			continue // no longer starved; the next cycle determines its new order
		}
		view := queued.currentView(teams)
		if view.LiveByMachine != nil {
			continue // spreading replicas needs a snapshot of all machines
		}
		snapshot.Jobs = append(snapshot.Jobs, view)
		index.jobs = append(index.jobs, job)
	}
	if len(snapshot.Jobs) > 0 {
		sc.apply(Plan(snapshot), index, now)
	}
}
