package cluster

import (
	"math"

	"dunestand/internal/units"
)

// What the ends of attempts teach about jobs, classes and machines.

// Done notes that a task has completed.
func (l *Ledger) Done(j *Job, i int, now units.Micros) {
	if j.markDone(i) {
		j.Changed(now, j.Complete())
	}
}

// Completed learns from an attempt that has completed.
func (l *Ledger) Completed(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	clear(m.errorJobs)
	j.Errors, j.Succeeded = 0, true
	if a.RunningSince == 0 || a.Stage != Running {
		return
	}
	run := now - a.RunningSince
	if l.RunSeen != nil {
		l.RunSeen(j, run)
	}
	if mean := j.MeanRun(); mean > 0 && j.runs >= 3 && mean > 2*units.Second {
		// Tasks of one job differ by much, so it takes several, on a scale on
		// which twice as long and half as long weigh the same.
		ratio := math.Log2(max(0.25, min(run.Seconds()/mean.Seconds(), 4)))
		m.slowness = 0.85*m.slowness + 0.15*ratio
		m.slowRuns++
		m.Slow = m.slowRuns >= slowRuns && m.slowness > slowLevel
	}
	if !m.Slow {
		j.runTotal += run
		j.runs++
	}
	if e := j.Spec.Estimate; e > 0 {
		ratio := max(0.1, min(run.Seconds()/e.Seconds(), 10))
		old, ok := l.classes[j.Spec.Class]
		if !ok {
			old = 1
		}
		l.classes[j.Spec.Class] = 0.95*old + 0.05*ratio
	}
}

// Estimate is how long a task of the job is thought to run.
func (l *Ledger) Estimate(j *Job) units.Micros {
	if mean := j.MeanRun(); mean > 0 {
		return mean
	}
	ratio, ok := l.classes[j.Spec.Class]
	if !ok {
		ratio = 1
	}
	return units.Micros(float64(j.Spec.Estimate) * ratio)
}

// A machine counts as slow after so many runs that took, on a moving mean, 1.5
// times as long as their siblings elsewhere.
const (
	slowRuns  = 6
	slowLevel = 0.6 // log2(1.5)
)

// faultyJobs is how many jobs must fail on a machine, with no success
// between, before the machine is blamed and not the jobs.
const faultyJobs = 2

// Failed learns from an attempt that ended in an error. A job that never
// succeeded anywhere and fails on several machines was submitted with a
// mistake: it is retried ever more slowly and no machine is blamed for it.
func (l *Ledger) Failed(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	j.Errors++
	j.ErrorsOn[m.ID] = true
	suspect := !j.Succeeded && len(j.ErrorsOn) >= 3
	if suspect {
		shift := min(len(j.ErrorsOn)+j.Errors/4, 8)
		j.RetryAt = now + min(errorBackoff<<shift, maxErrorBackoff)
		for _, other := range l.Machines {
			delete(other.errorJobs, j.Spec.ID)
		}
		return
	}
	m.errorJobs[j.Spec.ID] = true
	if len(m.errorJobs) >= faultyJobs || (j.Succeeded && j.Errors >= 3) {
		m.SetAside = true
	}
}

// steadyRun is how long a service's replica runs until its machine and its job
// are thought to be in order.
const steadyRun = 20 * units.Second

// Steady learns from a replica that runs.
func (l *Ledger) Steady(a *Attempt, now units.Micros) {
	if a.RunningSince == 0 || now-a.RunningSince < steadyRun {
		return
	}
	j := a.Job
	clear(a.Machine.errorJobs)
	delete(j.short, a.Index)
	j.Errors, j.Succeeded = 0, true
	if len(j.ErrorsOn) >= 3 {
		clear(j.ErrorsOn) // machines to be avoided, while they are few
	}
}

// Ended learns from a replica that ended by itself, with an error or without.
// One that keeps ending is started again ever more slowly, and elsewhere.
func (l *Ledger) Ended(a *Attempt, failed bool, now units.Micros) {
	l.Steady(a, now)
	j := a.Job
	if a.RunningSince > 0 && now-a.RunningSince >= steadyRun {
		return
	}
	if failed {
		l.Failed(a, now)
	}
	j.ErrorsOn[a.Machine.ID] = true
	if j.short == nil {
		j.short = map[int]int{}
	}
	j.short[a.Index]++
	if n := j.short[a.Index]; n > 1 {
		j.RetryAt = max(j.RetryAt, now+min(replicaBackoff<<min(n-2, 8), maxReplicaBackoff))
	}
}
