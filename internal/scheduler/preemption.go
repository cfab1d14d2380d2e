package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// machineVictim is a victim and its machine.
type machineVictim struct {
	machine int
	victim  *Victim
}

// preempt chooses tasks to be stopped for what place found no room for: first
// of the job's own team, as far as the team's limit is what lacks, then on the
// machines. Room that stopped tasks are about to leave is reckoned with first,
// so that no round stops again for the same need.
func (p *planner) preempt(i int, j *JobView) {
	mayStop := !j.AwaitsCompletions && p.mayPreemptAny(j)
	if !mayStop && !p.anyFreeing {
		return
	}
	want := p.preemptInTeam(i, j)
	p.snapshot.Teams[j.Team].Freeing = p.snapshot.Teams[j.Team].Freeing.Plus(j.Spec.Request, -want)
	for k := range p.snapshot.Machines {
		if want <= 0 {
			return
		}
		m := &p.snapshot.Machines[k]
		coming := min(m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request), want)
		if coming > 0 && p.usable(k, j) {
			p.claimRoom(m, j.Spec.Request, coming)
			want -= coming
		}
	}
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if want <= 0 || !mayStop {
			return
		}
		if !p.usable(k, j) || m.Slow {
			continue
		}
		want -= p.preemptOn(k, i, j, want)
	}
}

// mayPreemptAny tells whether any task at all could be stopped for the job.
func (p *planner) mayPreemptAny(j *JobView) bool {
	if j.Spec.Priority >= protocol.High {
		return true
	}
	if !j.WithinGuarantee {
		return false
	}
	for i := range p.snapshot.Teams {
		if g := p.snapshot.Teams[i].GuaranteedQuota; i != j.Team && (p.usageAfterPreemption[i].CPU > g.CPU || p.usageAfterPreemption[i].GPU > g.GPU) {
			return true
		}
	}
	return false
}

// victimsOn gives the tasks on a machine that could be stopped, the one to be
// stopped first first.
func (p *planner) victimsOn(k int) []Victim {
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

// preemptInTeam stops tasks of the job's own team until its limit has room for
// the job, and gives how many of the job's tasks it then has room for.
func (p *planner) preemptInTeam(i int, j *JobView) int {
	t := &p.snapshot.Teams[j.Team]
	room := func() int {
		return min(j.Pending, t.QuotaLimit.Plus(t.Used, -1).Plus(t.Freeing, 1).Fits(j.Spec.Request))
	}
	if room() == j.Pending || j.Spec.Priority < protocol.High || j.AwaitsCompletions {
		return room()
	}
	for _, c := range p.victimsOf(j.Team) {
		if c.victim.Priority >= j.Spec.Priority || room() >= j.Pending {
			break
		}
		if !p.preempted[c.victim.Ref] && p.usable(c.machine, j) && p.mayPreempt(j, *c.victim) {
			p.preemptVictim(&p.snapshot.Machines[c.machine], *c.victim, i)
		}
	}
	return room()
}

// victimsOf gives a team's tasks that could be stopped, the one to be stopped
// first first.
func (p *planner) victimsOf(team int) []machineVictim {
	if p.victimsByTeam == nil {
		p.victimsByTeam = map[int][]machineVictim{}
		for k := range p.snapshot.Machines {
			on := p.victimsOn(k)
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

// preemptVictim chooses a victim. It counts against its team's limit and on its machine
// until it is gone.
func (p *planner) preemptVictim(m *MachineView, v Victim, i int) {
	p.preempted[v.Ref] = true
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Victim: v.Ref, Job: i})
	m.Freeing = m.Freeing.Plus(v.Request, 1)
	p.anyFreeing = true
	t := &p.snapshot.Teams[v.Team]
	t.Freeing = t.Freeing.Plus(v.Request, 1)
	p.usageAfterPreemption[v.Team] = p.usageAfterPreemption[v.Team].Plus(v.Request, -1)
}

// claimRoom takes room that is free or about to be from the machine's views.
func (p *planner) claimRoom(m *MachineView, need units.Resources, n int) {
	total := m.Free.Plus(m.Freeing, 1).Plus(need, -n)
	m.Freeing = units.Resources{
		CPU:    min(m.Freeing.CPU, total.CPU),
		GPU:    min(m.Freeing.GPU, total.GPU),
		Memory: min(m.Freeing.Memory, total.Memory),
	}
	m.Free = total.Plus(m.Freeing, -1)
}

func (p *planner) preemptOn(k, i int, j *JobView, want int) int {
	m := &p.snapshot.Machines[k]
	made := 0
	room := m.freeFor(j).Plus(m.Freeing, 1)
	var chosen []Victim
	for _, v := range p.victimsOn(k) {
		if made >= want {
			break
		}
		if p.preempted[v.Ref] || !p.mayPreempt(j, v) {
			continue
		}
		room = room.Plus(v.Request, 1)
		chosen = append(chosen, v)
		if n := min(room.Fits(j.Spec.Request), want); n > made {
			for _, c := range chosen {
				p.preemptVictim(m, c, i)
			}
			chosen = nil
			made = n
		}
	}
	if made > 0 {
		p.claimRoom(m, j.Spec.Request, made)
	}
	return made
}

// mayPreempt tells whether a task may be stopped to make room for a job: one of
// lower priority, or one that its team runs beyond its guarantee while the
// job is within its own. The victim waits again once it is stopped, so it must
// come after the job in the order: else the next round would give it the room
// again, and the two would go on taking turns.
func (p *planner) mayPreempt(j *JobView, v Victim) bool {
	if v.Priority >= j.Spec.Priority || j.Spec.Priority < protocol.High {
		if !j.WithinGuarantee || v.Team == j.Team || v.Priority > j.Spec.Priority && v.Priority >= protocol.High {
			return false
		}
		g, rest := p.snapshot.Teams[v.Team].GuaranteedQuota, p.usageAfterPreemption[v.Team].Plus(v.Request, -1)
		if rest.CPU < g.CPU || rest.GPU < g.GPU {
			return false
		}
	}
	return compareJobs(j, v.Job) < 0
}
