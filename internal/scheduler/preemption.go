package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// preempt chooses tasks to be stopped for what place found no room for: first
// of the job's own team, as far as the team's limit is what lacks, then on the
// machines. Capacity that stopped tasks are about to free is used first,
// so that no cycle stops tasks again for the same request.
func (p *planner) preempt(jobIndex int, job *JobView) {
	mayPreempt := !job.AwaitsCompletions && p.mayPreemptSome(job)
	if !mayPreempt && !p.capacityFreeing {
		return
	}
	wanted := p.preemptWithinTeam(jobIndex, job)
	team := &p.snapshot.Teams[job.Team]
	team.Freeing = team.Freeing.Plus(job.Spec.Request, -wanted)
	wanted -= p.claimFreeing(job, wanted)
	if mayPreempt {
		p.preemptOnMachines(jobIndex, job, wanted)
	}
}

// mayPreemptSome reports whether any task at all could be stopped for the job.
func (p *planner) mayPreemptSome(job *JobView) bool {
	if job.urgent() {
		return true
	}
	if !job.WithinGuarantee {
		return false
	}
	for i := range p.snapshot.Teams {
		guarantee, usage := p.snapshot.Teams[i].GuaranteedQuota, p.usageAfterPreemption[i]
		if i != job.Team && (usage.CPU > guarantee.CPU || usage.GPU > guarantee.GPU) {
			return true
		}
	}
	return false
}

// mayPreempt reports whether a task may be stopped to make room for a job: one of
// lower priority, or one that its team runs beyond its guarantee while the
// job is within its own. The victim waits again once it is stopped, so it must
// come after the job in the order: else the next cycle would give it the capacity
// again, and the two would go on taking turns.
func (p *planner) mayPreempt(job *JobView, victim Victim) bool {
	outranked := job.urgent() && victim.Priority < job.Spec.Priority
	return (outranked || p.mayReclaimGuarantee(job, victim)) && compareJobs(job, victim.Job) < 0
}

// mayReclaimGuarantee reports whether a job within its team's guarantee may have the capacity
// of a task that another team runs beyond its own. Urgent tasks of a higher priority are
// spared.
func (p *planner) mayReclaimGuarantee(job *JobView, victim Victim) bool {
	spared := victim.Priority > job.Spec.Priority && victim.Priority >= protocol.High
	if !job.WithinGuarantee || victim.Team == job.Team || spared {
		return false
	}
	guarantee := p.snapshot.Teams[victim.Team].GuaranteedQuota
	rest := p.usageAfterPreemption[victim.Team].Plus(victim.Request, -1)
	return rest.CPU >= guarantee.CPU && rest.GPU >= guarantee.GPU
}

// preemptWithinTeam stops tasks of the job's own team until its limit has room for
// the job, and returns how many of the job's tasks it then has room for.
func (p *planner) preemptWithinTeam(jobIndex int, job *JobView) int {
	team := &p.snapshot.Teams[job.Team]
	allowed := func() int {
		return min(job.Pending, team.QuotaLimit.Plus(team.Used, -1).Plus(team.Freeing, 1).CountFitting(job.Spec.Request))
	}
	if allowed() == job.Pending || !job.urgent() || job.AwaitsCompletions {
		return allowed()
	}
	for _, c := range p.victimsInTeam(job.Team) {
		if c.victim.Priority >= job.Spec.Priority || allowed() >= job.Pending {
			break
		}
		if !p.preempted[c.victim.Ref] && p.feasible(c.machine, job) && p.mayPreempt(job, *c.victim) {
			p.preemptVictim(&p.snapshot.Machines[c.machine], *c.victim, jobIndex)
		}
	}
	return allowed()
}

// claimFreeing claims capacity that is free or about to be for up to n of the job's tasks,
// and returns for how many it found some.
func (p *planner) claimFreeing(job *JobView, n int) int {
	claimed := 0
	for i := range p.snapshot.Machines {
		if claimed >= n {
			break
		}
		m := &p.snapshot.Machines[i]
		fit := min(m.freeFor(job).Plus(m.Freeing, 1).CountFitting(job.Spec.Request), n-claimed)
		if fit > 0 && p.feasible(i, job) {
			p.claimCapacity(m, job.Spec.Request, fit)
			claimed += fit
		}
	}
	return claimed
}

// preemptOnMachines stops tasks on one machine after the other until n of the job's tasks
// have room.
func (p *planner) preemptOnMachines(jobIndex int, job *JobView, n int) {
	for i := range p.snapshot.Machines {
		if n <= 0 {
			return
		}
		if p.feasible(i, job) && !p.snapshot.Machines[i].Slow {
			n -= p.preemptOnMachine(i, jobIndex, job, n)
		}
	}
}

// preemptOnMachine stops tasks on a machine to make room for up to n of the job's tasks, and
// returns for how many it made some. It stops none whose capacity makes no room.
func (p *planner) preemptOnMachine(machine, jobIndex int, job *JobView, n int) int {
	m := &p.snapshot.Machines[machine]
	fitting := 0
	free := m.freeFor(job).Plus(m.Freeing, 1)
	var chosen []Victim
	for _, victim := range p.victimsOnMachine(machine) {
		if fitting >= n {
			break
		}
		if p.preempted[victim.Ref] || !p.mayPreempt(job, victim) {
			continue
		}
		free = free.Plus(victim.Request, 1)
		chosen = append(chosen, victim)
		if fit := min(free.CountFitting(job.Spec.Request), n); fit > fitting {
			for _, victim := range chosen {
				p.preemptVictim(m, victim, jobIndex)
			}
			chosen = nil
			fitting = fit
		}
	}
	if fitting > 0 {
		p.claimCapacity(m, job.Spec.Request, fitting)
	}
	return fitting
}

// preemptVictim preempts a victim for a job. It counts against its team's limit and on its
// machine until it is gone.
func (p *planner) preemptVictim(m *MachineView, victim Victim, jobIndex int) {
	p.preempted[victim.Ref] = true
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Victim: victim.Ref, Job: jobIndex})
	m.Freeing = m.Freeing.Plus(victim.Request, 1)
	p.capacityFreeing = true
	team := &p.snapshot.Teams[victim.Team]
	team.Freeing = team.Freeing.Plus(victim.Request, 1)
	p.usageAfterPreemption[victim.Team] = p.usageAfterPreemption[victim.Team].Plus(victim.Request, -1)
}

// claimCapacity takes the requests of n tasks from the capacity of a machine that is free or
// about to be: from what is free first.
func (p *planner) claimCapacity(m *MachineView, request units.Resources, n int) {
	total := m.Free.Plus(m.Freeing, 1).Plus(request, -n)
	m.Freeing = units.Resources{
		CPU:    min(m.Freeing.CPU, total.CPU),
		GPU:    min(m.Freeing.GPU, total.GPU),
		Memory: min(m.Freeing.Memory, total.Memory),
	}
	m.Free = total.Plus(m.Freeing, -1)
}
