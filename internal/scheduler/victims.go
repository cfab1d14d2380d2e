package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// replicaLostWork puts replicas of services last among the tasks of their priority
// that could be stopped: what they lose is not work that can be done again.
const replicaLostWork = 1_000_000 * units.Second

// preemptionVictims lists the tasks on a machine that could be stopped.
func (sc *Scheduler) preemptionVictims(m *cluster.Machine, teams map[string]int, views jobViews, refs *snapshotIndex, now units.Micros) []Victim {
	out := make([]Victim, 0, len(m.Attempts))
	for _, a := range m.SortedAttempts() {
		team, ok := teams[a.Job.Spec.Team]
		if !ok || views[a.Job] == nil || a.Stopping || a.Stage != cluster.Running && a.Stage != cluster.Fetching {
			continue
		}
		if sc.starved(a.Job) && len(a.Job.LiveAttempts) == 1 {
			continue // all that its job has, after a long wait
		}
		v := Victim{
			Ref:      len(refs.victims),
			Team:     team,
			Priority: a.Job.Spec.Priority,
			Request:  a.Job.Spec.Request,
			Job:      views[a.Job],
		}
		if a.Stage == cluster.Running {
			v.LostWork = now - a.RunningSince
		}
		if a.Job.Spec.CheckpointInterval > 0 {
			v.LostWork = a.Job.Spec.CheckpointDuration
		}
		if a.Job.IsService() {
			v.LostWork += replicaLostWork
		}
		refs.victims = append(refs.victims, a)
		out = append(out, v)
	}
	return out
}

// machineVictim is a victim and its machine.
type machineVictim struct {
	machine int
	victim  *Victim
}

// victimsOnMachine gives the tasks on a machine that could be stopped, the one to be
// stopped first first.
func (p *planner) victimsOnMachine(k int) []Victim {
	if p.victimsByMachine == nil {
		p.victimsByMachine = make([][]Victim, len(p.snapshot.Machines))
	}
	if p.victimsByMachine[k] == nil {
		if list := p.snapshot.Machines[k].Victims; list != nil {
			p.victimsByMachine[k] = list()
			slices.SortFunc(p.victimsByMachine[k], compareVictims)
		}
		if p.victimsByMachine[k] == nil {
			p.victimsByMachine[k] = []Victim{} // asked, and none
		}
	}
	return p.victimsByMachine[k]
}

// victimsInTeam gives a team's tasks that could be stopped, the one to be stopped
// first first.
func (p *planner) victimsInTeam(team int) []machineVictim {
	if p.victimsByTeam == nil {
		p.victimsByTeam = map[int][]machineVictim{}
		for k := range p.snapshot.Machines {
			on := p.victimsOnMachine(k)
			for n := range on {
				p.victimsByTeam[on[n].Team] = append(p.victimsByTeam[on[n].Team], machineVictim{k, &on[n]})
			}
		}
		for _, list := range p.victimsByTeam {
			slices.SortFunc(list, func(a, b machineVictim) int { return compareVictims(*a.victim, *b.victim) })
		}
	}
	return p.victimsByTeam[team]
}

// compareVictims orders victims, the one to be stopped first first.
func compareVictims(a, b Victim) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Ref, b.Ref))
}
