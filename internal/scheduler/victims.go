package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// replicaLostWork is added to the lost work of a service's replica, so that replicas are
// preempted last among the tasks of their priority: a replica that is down is an outage for
// its users, which no rerun makes up for.
const replicaLostWork = 1_000_000 * units.Second

// preemptionVictims returns the tasks on a machine that could be preempted. It appends their
// attempts to index.victims.
func (sc *Scheduler) preemptionVictims(m *cluster.Machine, index *snapshotIndex, now units.Micros) []Victim {
	victims := make([]Victim, 0, len(m.Attempts))
	for _, attempt := range m.SortedAttempts() {
		job := attempt.Job
		team, known := index.teams[job.Spec.Team]
		started := attempt.Stage == cluster.Running || attempt.Stage == cluster.Fetching
		if !known || index.views[job] == nil || attempt.Stopping || !started {
			continue
		}
		if sc.starved(job) && len(job.LiveAttempts) == 1 {
			continue // the only live task of a starved job
		}
		victims = append(victims, Victim{
			Ref:      len(index.victims),
			Team:     team,
			Priority: job.Spec.Priority,
			Request:  job.Spec.Request,
			LostWork: lostWork(attempt, now),
			Job:      index.views[job],
		})
		index.victims = append(index.victims, attempt)
	}
	return victims
}

// lostWork returns the run time that is lost when an attempt is stopped: the time for which it has
// been running, or for a job with checkpoints the time that a checkpoint takes.
func lostWork(attempt *cluster.Attempt, now units.Micros) units.Micros {
	var lost units.Micros
	if attempt.Stage == cluster.Running {
		lost = now - attempt.RunningSince
	}
	if attempt.Job.Spec.CheckpointInterval > 0 {
		lost = attempt.Job.Spec.CheckpointDuration
	}
	if attempt.Job.IsService() {
		lost += replicaLostWork
	}
	return lost
}

// machineVictim is a victim and its machine.
type machineVictim struct {
	machine int // index in Snapshot.Machines
	victim  *Victim
}

// victimsOnMachine returns the tasks on a machine that could be preempted, in preemption order.
// It caches them.
func (p *planner) victimsOnMachine(machine int) []Victim {
	if p.victimsByMachine == nil {
		p.victimsByMachine = make([][]Victim, len(p.snapshot.Machines))
	}
	if p.victimsByMachine[machine] == nil {
		victims := []Victim{} // not nil, so that an empty list is cached too
		if list := p.snapshot.Machines[machine].Victims; list != nil {
			if listed := list(); listed != nil {
				victims = listed
			}
			slices.SortFunc(victims, compareVictims)
		}
		p.victimsByMachine[machine] = victims
	}
	return p.victimsByMachine[machine]
}

// victimsInTeam returns a team's tasks that could be preempted, in preemption order. It caches
// them.
func (p *planner) victimsInTeam(team int) []machineVictim {
	if p.victimsByTeam == nil {
		p.victimsByTeam = map[int][]machineVictim{}
		for machine := range p.snapshot.Machines {
			victims := p.victimsOnMachine(machine)
			for i := range victims {
				victim := &victims[i]
				p.victimsByTeam[victim.Team] = append(p.victimsByTeam[victim.Team], machineVictim{machine, victim})
			}
		}
		for _, victims := range p.victimsByTeam {
			slices.SortFunc(victims, func(a, b machineVictim) int { return compareVictims(*a.victim, *b.victim) })
		}
	}
	return p.victimsByTeam[team]
}

// compareVictims orders victims in preemption order: by priority, then by lost work.
func compareVictims(a, b Victim) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Ref, b.Ref))
}
