package cluster

import (
	"math"

	"dunestand/internal/units"
)

// What the ends of attempts teach about jobs, classes and machines.

// TaskDone notes that a task has completed.
func (l *State) TaskDone(j *Job, i int, now units.Micros) {
	if j.markDone(i) {
		j.MarkChanged(now, j.Complete())
	}
}

// AttemptCompleted learns from an attempt that has completed.
func (l *State) AttemptCompleted(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	clear(m.failedJobs)
	j.ConsecutiveErrors, j.Succeeded = 0, true
	if a.RunningSince == 0 || a.Stage != Running {
		return
	}
	run := now - a.RunningSince
	if l.OnRunObserved != nil {
		l.OnRunObserved(j, run)
	}
	if mean := j.MeanRuntime(); mean > 0 && j.observedRuns >= 3 && mean > 2*units.Second {
		// Background of one job differ by much, so it takes several, on a scale on
		// which twice as long and half as long weigh the same.
		ratio := math.Log2(max(0.25, min(run.Seconds()/mean.Seconds(), 4)))
		m.slowness = 0.85*m.slowness + 0.15*ratio
		m.comparedRuns++
		m.Slow = m.comparedRuns >= minComparedRuns && m.slowness > slowThreshold
	}
	if !m.Slow {
		j.totalRuntime += run
		j.observedRuns++
	}
	if e := j.Spec.Estimate; e > 0 {
		ratio := max(0.1, min(run.Seconds()/e.Seconds(), 10))
		old, ok := l.runtimeRatios[j.Spec.Class]
		if !ok {
			old = 1
		}
		l.runtimeRatios[j.Spec.Class] = 0.95*old + 0.05*ratio
	}
}

// EstimateRuntime is how long a task of the job is thought to run.
func (l *State) EstimateRuntime(j *Job) units.Micros {
	if mean := j.MeanRuntime(); mean > 0 {
		return mean
	}
	ratio, ok := l.runtimeRatios[j.Spec.Class]
	if !ok {
		ratio = 1
	}
	return units.Micros(float64(j.Spec.Estimate) * ratio)
}

// A machine counts as slow after so many runs that took, on a moving mean, 1.5
// times as long as their siblings elsewhere.
const (
	minComparedRuns = 6
	slowThreshold   = 0.6 // log2(1.5)
)

// quarantineAfterJobs is how many jobs must fail on a machine, with no success
// between, before the machine is blamed and not the jobs.
const quarantineAfterJobs = 2

// AttemptFailed learns from an attempt that ended in an error. A job that never
// succeeded anywhere and fails on several machines was submitted with a
// mistake: it is retried ever more slowly and no machine is blamed for it.
func (l *State) AttemptFailed(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	j.ConsecutiveErrors++
	j.FailedMachines[m.ID] = true
	suspect := !j.Succeeded && len(j.FailedMachines) >= 3
	if suspect {
		shift := min(len(j.FailedMachines)+j.ConsecutiveErrors/4, 8)
		j.RetryAt = now + min(errorBackoff<<shift, maxErrorBackoff)
		for _, other := range l.Machines {
			delete(other.failedJobs, j.Spec.ID)
		}
		return
	}
	m.failedJobs[j.Spec.ID] = true
	if len(m.failedJobs) >= quarantineAfterJobs || (j.Succeeded && j.ConsecutiveErrors >= 3) {
		m.Quarantined = true
	}
}

// steadyRuntime is how long a service's replica runs until its machine and its job
// are thought to be in order.
const steadyRuntime = 20 * units.Second

// ReplicaSteady learns from a replica that runs.
func (l *State) ReplicaSteady(a *Attempt, now units.Micros) {
	if a.RunningSince == 0 || now-a.RunningSince < steadyRuntime {
		return
	}
	j := a.Job
	clear(a.Machine.failedJobs)
	delete(j.shortRuns, a.Index)
	j.ConsecutiveErrors, j.Succeeded = 0, true
	if len(j.FailedMachines) >= 3 {
		clear(j.FailedMachines) // machines to be avoided, while they are few
	}
}

// ReplicaEnded learns from a replica that ended by itself, with an error or without.
// One that keeps ending is started again ever more slowly, and elsewhere.
func (l *State) ReplicaEnded(a *Attempt, failed bool, now units.Micros) {
	l.ReplicaSteady(a, now)
	j := a.Job
	if a.RunningSince > 0 && now-a.RunningSince >= steadyRuntime {
		return
	}
	if failed {
		l.AttemptFailed(a, now)
	}
	j.FailedMachines[a.Machine.ID] = true
	if j.shortRuns == nil {
		j.shortRuns = map[int]int{}
	}
	j.shortRuns[a.Index]++
	if n := j.shortRuns[a.Index]; n > 1 {
		j.RetryAt = max(j.RetryAt, now+min(replicaBackoff<<min(n-2, 8), maxReplicaBackoff))
	}
}
