package coordination

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// located is a victim and its machine.
type located struct {
	machine int
	victim  *Victim
}

// preempt chooses tasks to be stopped for what place found no room for: first
// of the job's own team, as far as the team's limit is what lacks, then on the
// machines. Room that stopped tasks are about to leave is reckoned with first,
// so that no round stops again for the same need.
func (p *planner) preempt(i int, j *JobView) {
	mayStop := !j.Patient && p.mayStopAny(j)
	if !mayStop && !p.freeing {
		return
	}
	want := p.preemptInTeam(i, j)
	p.s.Teams[j.Team].Freeing = p.s.Teams[j.Team].Freeing.Plus(j.Spec.Request, -want)
	for k := range p.s.Machines {
		if want <= 0 {
			return
		}
		m := &p.s.Machines[k]
		coming := min(m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request), want)
		if coming > 0 && p.usable(k, j) {
			p.reserve(m, j.Spec.Request, coming)
			want -= coming
		}
	}
	for k := range p.s.Machines {
		m := &p.s.Machines[k]
		if want <= 0 || !mayStop {
			return
		}
		if !p.usable(k, j) || m.Slow {
			continue
		}
		want -= p.preemptOn(k, i, j, want)
	}
}

// mayStopAny tells whether any task at all could be stopped for the job.
func (p *planner) mayStopAny(j *JobView) bool {
	if j.Spec.Priority >= protocol.High {
		return true
	}
	if !j.Guaranteed {
		return false
	}
	for i := range p.s.Teams {
		if g := p.s.Teams[i].Guarantee; i != j.Team && (p.leave[i].CPU > g.CPU || p.leave[i].GPU > g.GPU) {
			return true
		}
	}
	return false
}

// victimsOn gives the tasks on a machine that could be stopped, the one to be
// stopped first first.
func (p *planner) victimsOn(k int) []Victim {
	if p.victims == nil {
		p.victims = make([][]Victim, len(p.s.Machines))
	}
	if p.victims[k] == nil {
		if list := p.s.Machines[k].Victims; list != nil {
			p.victims[k] = list()
			slices.SortFunc(p.victims[k], compareVictims)
		}
		if p.victims[k] == nil {
			p.victims[k] = []Victim{} // asked, and none
		}
	}
	return p.victims[k]
}

// preemptInTeam stops tasks of the job's own team until its limit has room for
// the job, and gives how many of the job's tasks it then has room for.
func (p *planner) preemptInTeam(i int, j *JobView) int {
	t := &p.s.Teams[j.Team]
	room := func() int { return min(j.Pending, t.Limit.Plus(t.Used, -1).Plus(t.Freeing, 1).Fits(j.Spec.Request)) }
	if room() == j.Pending || j.Spec.Priority < protocol.High || j.Patient {
		return room()
	}
	for _, c := range p.victimsOf(j.Team) {
		if c.victim.Priority >= j.Spec.Priority || room() >= j.Pending {
			break
		}
		if !p.taken[c.victim.Ref] && p.usable(c.machine, j) && p.mayStop(j, *c.victim) {
			p.stop(&p.s.Machines[c.machine], *c.victim, i)
		}
	}
	return room()
}

// victimsOf gives a team's tasks that could be stopped, the one to be stopped
// first first.
func (p *planner) victimsOf(team int) []located {
	if p.ofTeam == nil {
		p.ofTeam = map[int][]located{}
		for k := range p.s.Machines {
			on := p.victimsOn(k)
			for n := range on {
				p.ofTeam[on[n].Team] = append(p.ofTeam[on[n].Team], located{k, &on[n]})
			}
		}
		for _, list := range p.ofTeam {
			slices.SortFunc(list, func(a, b located) int { return compareVictims(*a.victim, *b.victim) })
		}
	}
	return p.ofTeam[team]
}

// compareVictims orders victims, the one to be stopped first first.
func compareVictims(a, b Victim) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Loses, b.Loses), cmp.Compare(a.Ref, b.Ref))
}

// stop chooses a victim. It counts against its team's limit and on its machine
// until it is gone.
func (p *planner) stop(m *MachineView, v Victim, i int) {
	p.taken[v.Ref] = true
	p.out.Stops = append(p.out.Stops, Preemption{Victim: v.Ref, For: i})
	m.Freeing = m.Freeing.Plus(v.Need, 1)
	p.freeing = true
	t := &p.s.Teams[v.Team]
	t.Freeing = t.Freeing.Plus(v.Need, 1)
	p.leave[v.Team] = p.leave[v.Team].Plus(v.Need, -1)
}

// reserve takes room that is free or about to be from the machine's views.
func (p *planner) reserve(m *MachineView, need units.Resources, n int) {
	total := m.Free.Plus(m.Freeing, 1).Plus(need, -n)
	m.Freeing = units.Resources{
		CPU:    min(m.Freeing.CPU, total.CPU),
		GPU:    min(m.Freeing.GPU, total.GPU),
		Memory: min(m.Freeing.Memory, total.Memory),
	}
	m.Free = total.Plus(m.Freeing, -1)
}

func (p *planner) preemptOn(k, i int, j *JobView, want int) int {
	m := &p.s.Machines[k]
	made := 0
	room := m.freeFor(j).Plus(m.Freeing, 1)
	var chosen []Victim
	for _, v := range p.victimsOn(k) {
		if made >= want {
			break
		}
		if p.taken[v.Ref] || !p.mayStop(j, v) {
			continue
		}
		room = room.Plus(v.Need, 1)
		chosen = append(chosen, v)
		if n := min(room.Fits(j.Spec.Request), want); n > made {
			for _, c := range chosen {
				p.stop(m, c, i)
			}
			chosen = nil
			made = n
		}
	}
	if made > 0 {
		p.reserve(m, j.Spec.Request, made)
	}
	return made
}

// mayStop tells whether a task may be stopped to make room for a job: one of
// lower priority, or one that its team runs beyond its guarantee while the
// job is within its own. The victim waits again once it is stopped, so it must
// come after the job in the order: else the next round would give it the room
// again, and the two would go on taking turns.
func (p *planner) mayStop(j *JobView, v Victim) bool {
	if v.Priority >= j.Spec.Priority || j.Spec.Priority < protocol.High {
		if !j.Guaranteed || v.Team == j.Team || v.Priority > j.Spec.Priority && v.Priority >= protocol.High {
			return false
		}
		g, rest := p.s.Teams[v.Team].Guarantee, p.leave[v.Team].Plus(v.Need, -1)
		if rest.CPU < g.CPU || rest.GPU < g.GPU {
			return false
		}
	}
	return compareJobs(j, v.Job) < 0
}
