package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// preempt chooses tasks to be stopped for what place found no room for: first
// of the job's own team, as far as the team's limit is what lacks, then on the
// machines. Room that stopped tasks are about to leave is reckoned with first,
// so that no round stops again for the same need.
func (p *planner) preempt(i int, j *JobView) {
	mayStop := !j.AwaitsCompletions && p.mayPreemptSome(j)
	if !mayStop && !p.capacityFreeing {
		return
	}
	want := p.preemptWithinTeam(i, j)
	p.snapshot.Teams[j.Team].Freeing = p.snapshot.Teams[j.Team].Freeing.Plus(j.Spec.Request, -want)
	for k := range p.snapshot.Machines {
		if want <= 0 {
			return
		}
		m := &p.snapshot.Machines[k]
		coming := min(m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request), want)
		if coming > 0 && p.feasible(k, j) {
			p.claimCapacity(m, j.Spec.Request, coming)
			want -= coming
		}
	}
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if want <= 0 || !mayStop {
			return
		}
		if !p.feasible(k, j) || m.Slow {
			continue
		}
		want -= p.preemptOnMachine(k, i, j, want)
	}
}

// mayPreemptSome tells whether any task at all could be stopped for the job.
func (p *planner) mayPreemptSome(j *JobView) bool {
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

// preemptWithinTeam stops tasks of the job's own team until its limit has room for
// the job, and gives how many of the job's tasks it then has room for.
func (p *planner) preemptWithinTeam(i int, j *JobView) int {
	t := &p.snapshot.Teams[j.Team]
	room := func() int {
		return min(j.Pending, t.QuotaLimit.Plus(t.Used, -1).Plus(t.Freeing, 1).Fits(j.Spec.Request))
	}
	if room() == j.Pending || j.Spec.Priority < protocol.High || j.AwaitsCompletions {
		return room()
	}
	for _, c := range p.victimsInTeam(j.Team) {
		if c.victim.Priority >= j.Spec.Priority || room() >= j.Pending {
			break
		}
		if !p.preempted[c.victim.Ref] && p.feasible(c.machine, j) && p.mayPreempt(j, *c.victim) {
			p.preemptVictim(&p.snapshot.Machines[c.machine], *c.victim, i)
		}
	}
	return room()
}

// preemptVictim chooses a victim. It counts against its team's limit and on its machine
// until it is gone.
func (p *planner) preemptVictim(m *MachineView, v Victim, i int) {
	p.preempted[v.Ref] = true
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Victim: v.Ref, Job: i})
	m.Freeing = m.Freeing.Plus(v.Request, 1)
	p.capacityFreeing = true
	t := &p.snapshot.Teams[v.Team]
	t.Freeing = t.Freeing.Plus(v.Request, 1)
	p.usageAfterPreemption[v.Team] = p.usageAfterPreemption[v.Team].Plus(v.Request, -1)
}

// claimCapacity takes room that is free or about to be from the machine's views.
func (p *planner) claimCapacity(m *MachineView, need units.Resources, n int) {
	total := m.Free.Plus(m.Freeing, 1).Plus(need, -n)
	m.Freeing = units.Resources{
		CPU:    min(m.Freeing.CPU, total.CPU),
		GPU:    min(m.Freeing.GPU, total.GPU),
		Memory: min(m.Freeing.Memory, total.Memory),
	}
	m.Free = total.Plus(m.Freeing, -1)
}

func (p *planner) preemptOnMachine(k, i int, j *JobView, want int) int {
	m := &p.snapshot.Machines[k]
	made := 0
	room := m.freeFor(j).Plus(m.Freeing, 1)
	var chosen []Victim
	for _, v := range p.victimsOnMachine(k) {
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
		p.claimCapacity(m, j.Spec.Request, made)
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
