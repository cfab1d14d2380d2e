package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// preempt chooses victims to make room for the job's tasks that place left pending. It first
// preempts tasks of the job's own team if the team's quota limit is too low for the job, then
// tasks on the machines. Capacity that tasks being stopped are about to free is claimed first:
// otherwise each cycle would preempt again for the same tasks.
func (p *planner) preempt(jobIndex int, job *JobView) {
	mayPreempt := !job.AwaitsCompletions && p.mayPreemptAny(job)
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

// mayPreemptAny reports whether there may be any victim for the job. It is a cheap check before
// the victims are listed.
func (p *planner) mayPreemptAny(job *JobView) bool {
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

// mayPreempt reports whether a task may be preempted for a job. The job must be urgent and of
// a higher priority, or be entitled to the capacity by its team's guaranteed quota
// (mayReclaimGuarantee). The victim waits again once it is stopped, so the job must also precede
// the victim's job in scheduling order: otherwise the next cycle would return the capacity to
// the victim, and the two would preempt each other in turn.
func (p *planner) mayPreempt(job *JobView, victim Victim) bool {
	outranked := job.urgent() && victim.Priority < job.Spec.Priority
	return (outranked || p.mayReclaimGuarantee(job, victim)) && compareJobs(job, victim.Job) < 0
}

// mayReclaimGuarantee reports whether a job within its team's guaranteed quota may take the
// capacity of a task of another team, which must keep its own guaranteed quota without the
// task. Urgent tasks of a higher priority than the job's are exempt.
func (p *planner) mayReclaimGuarantee(job *JobView, victim Victim) bool {
	spared := victim.Priority > job.Spec.Priority && victim.Priority >= protocol.High
	if !job.WithinGuarantee || victim.Team == job.Team || spared {
		return false
	}
	guarantee := p.snapshot.Teams[victim.Team].GuaranteedQuota
	rest := p.usageAfterPreemption[victim.Team].Plus(victim.Request, -1)
	return rest.CPU >= guarantee.CPU && rest.GPU >= guarantee.GPU
}

// preemptWithinTeam preempts tasks of the job's own team until all of the job's pending tasks
// fit into the team's quota limit or there are no more victims. It returns how many of them
// fit then. It preempts only victims that let one more of the job's tasks fit.
func (p *planner) preemptWithinTeam(jobIndex int, job *JobView) int {
	team := &p.snapshot.Teams[job.Team]
	free := team.QuotaLimit.Plus(team.Used, -1).Plus(team.Freeing, 1)
	fitting := min(job.Pending, free.CountFitting(job.Spec.Request))
	if fitting == job.Pending || !job.urgent() || job.AwaitsCompletions {
		return fitting
	}
	var chosen []machineVictim
	for _, c := range p.victimsInTeam(job.Team) {
		if c.victim.Priority >= job.Spec.Priority || fitting >= job.Pending {
			break
		}
		m := &p.snapshot.Machines[c.machine]
		if p.preempted[c.victim.Ref] || m.Slow || !p.feasible(c.machine, job) || !p.mayPreempt(job, *c.victim) {
			continue
		}
		free = free.Plus(c.victim.Request, 1)
		chosen = append(chosen, c)
		if fit := min(job.Pending, free.CountFitting(job.Spec.Request)); fit > fitting {
			for _, c := range chosen {
				p.preemptVictim(&p.snapshot.Machines[c.machine], *c.victim, jobIndex)
			}
			chosen, fitting = nil, fit
		}
	}
	return fitting
}

// claimFreeing claims capacity that is free, or held by tasks being stopped, for up to n of
// the job's tasks. It returns the number of tasks for which it claimed capacity.
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

// preemptOnMachines preempts tasks on one machine after another until n of the job's tasks
// fit or no machine is left.
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

// preemptOnMachine preempts tasks on a machine until up to n of the job's tasks fit, and
// claims the capacity. It returns how many fit. It preempts only victims that let one more of
// the job's tasks fit.
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

// preemptVictim preempts a victim for a job. The victim's request still counts as used by its
// team and on its machine until the victim has stopped.
func (p *planner) preemptVictim(m *MachineView, victim Victim, jobIndex int) {
	p.preempted[victim.Ref] = true
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Victim: victim.Ref, Job: jobIndex})
	m.Freeing = m.Freeing.Plus(victim.Request, 1)
	p.capacityFreeing = true
	team := &p.snapshot.Teams[victim.Team]
	team.Freeing = team.Freeing.Plus(victim.Request, 1)
	p.usageAfterPreemption[victim.Team] = p.usageAfterPreemption[victim.Team].Plus(victim.Request, -1)
}

// claimCapacity subtracts the requests of n tasks from a machine's free capacity, and what
// exceeds it from the capacity held by tasks being stopped.
func (p *planner) claimCapacity(m *MachineView, request units.Resources, n int) {
	total := m.Free.Plus(m.Freeing, 1).Plus(request, -n)
	m.Freeing = units.Resources{
		CPU:    min(m.Freeing.CPU, total.CPU),
		GPU:    min(m.Freeing.GPU, total.GPU),
		Memory: min(m.Freeing.Memory, total.Memory),
	}
	m.Free = total.Plus(m.Freeing, -1)
}
