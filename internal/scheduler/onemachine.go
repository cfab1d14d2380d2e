package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

const jobsPerPlan = 12

// PlaceOnMachine plans for one machine between two rounds, in the order of the last one.
// Every other machine with room was offered then, or when it reported itself,
// so that this one is the companion whatever image it holds. It costs little
// next to a round: a machine that reports the end of a task has the next one
// in the answer, however large the fleet is.
func (sc *Scheduler) PlaceOnMachine(m *cluster.Machine, now units.Micros) {
	if !sc.allMachinesConsidered || len(sc.queue) == 0 || m.Free().CPU <= 0 || !sc.MachineSchedulable(m, now) {
		return
	}
	s := Snapshot{MaxPlacements: maxCyclePlacements, Partial: true}
	teams := sc.snapshotTeams(&s)
	s.Machines = []MachineView{sc.machineView(m, now, true)}
	s.Machines[0].Headroom = sc.headroom[m]
	// A few jobs at a time: the first ones mostly take all the room.
	queue := sc.queue
	if held := sc.reservations[m]; held != nil && sc.jobSchedulable(held, now) {
		// The room is kept together for this job: none that comes later gets any.
		if i := slices.IndexFunc(queue, func(q queuedJob) bool { return q.job == held }); i >= 0 {
			queue = queue[:i+1]
		}
	}
	for len(queue) > 0 && s.Machines[0].Free.CPU > 0 {
		n := min(len(queue), jobsPerPlan)
		sc.placeJobsOnMachine(queue[:n], m, &s, teams, now)
		queue = queue[n:]
	}
}

func (sc *Scheduler) placeJobsOnMachine(queue []queuedJob, m *cluster.Machine, s *Snapshot, teams map[string]int, now units.Micros) {
	s.Jobs = s.Jobs[:0]
	refs := &snapshotIndex{machines: []*cluster.Machine{m}}
	for _, q := range queue {
		j := q.job
		if s.Machines[0].Free.Fits(j.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !sc.jobSchedulable(j, now) {
			continue
		}
		view := q.view
		if view.Starved && len(j.LiveAttempts) > 0 {
			continue // it has begun; its turn for the rest is found by the next round
		}
		view.Pending, view.LiveTasks, view.Team = j.Pending(), len(j.LiveAttempts), teams[j.Spec.Team]
		sc.fillTopology(&view, j)
		if view.LiveByMachine != nil {
			continue // replicas are placed with all machines in view
		}
		s.Jobs = append(s.Jobs, view)
		refs.jobs = append(refs.jobs, j)
	}
	if len(s.Jobs) > 0 {
		sc.apply(Plan(s), refs, now)
	}
}
