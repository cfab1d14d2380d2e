package cluster

import (
	"math"

	"dunestand/internal/units"
)

// Outcomes learns from the ends of attempts: how long tasks run, when to try again, and which
// machines are slow or faulty. What concerns one job or machine is kept there. The lock of
// the State that owns it guards it.
type Outcomes struct {
	// OnRunObserved, if set, is called for each task that was seen to run from its start to
	// its end, with the state's lock held.
	OnRunObserved func(j *Job, run units.Micros)

	runtimeRatios map[string]float64 // by class: run time against the owners' estimates, moving mean
	machines      map[string]*Machine
}

func newOutcomes(machines map[string]*Machine) Outcomes {
	return Outcomes{runtimeRatios: map[string]float64{}, machines: machines}
}

// Exponential backoff of jobs whose tasks fail, and of replicas that keep ending.
const (
	errorBackoff      = units.Second / 4
	maxErrorBackoff   = 60 * units.Second
	replicaBackoff    = units.Second / 2
	maxReplicaBackoff = 30 * units.Second
	maxBackoffShift   = 8
)

// A machine counts as slow after so many runs that took, on a moving mean, 1.5
// times as long as their siblings elsewhere.
const (
	minComparedRuns = 6
	slowThreshold   = 0.6 // log2(1.5)
	slownessWeight  = 0.15
)

// A job's mean run time is compared with once it rests on so many runs and is above so much.
const (
	minObservedRuns    = 3
	minComparedRuntime = 2 * units.Second
)

// ratioWeight is the weight of a run in its class's moving mean of run times against estimates.
const ratioWeight = 0.05

// AttemptCompleted learns from an attempt that has completed.
func (o *Outcomes) AttemptCompleted(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	clear(m.failedJobs)
	j.ConsecutiveErrors, j.Succeeded = 0, true
	if a.RunningSince == 0 || a.Stage != Running {
		return
	}
	run := now - a.RunningSince
	if o.OnRunObserved != nil {
		o.OnRunObserved(j, run)
	}
	if mean := j.MeanRuntime(); j.observedRuns >= minObservedRuns && mean > minComparedRuntime {
		m.compareRun(run, mean)
	}
	if !m.Slow {
		j.totalRuntime += run
		j.observedRuns++
	}
	if e := j.Spec.Estimate; e > 0 {
		ratio := max(0.1, min(run.Seconds()/e.Seconds(), 10))
		o.runtimeRatios[j.Spec.Class] = (1-ratioWeight)*o.runtimeRatio(j.Spec.Class) + ratioWeight*ratio
	}
}

// compareRun compares a run with the mean of its siblings. The tasks of one job differ by much,
// so it takes several to call a machine slow, on a scale on which twice as long and half as
// long weigh the same.
func (m *Machine) compareRun(run, mean units.Micros) {
	ratio := math.Log2(max(0.25, min(run.Seconds()/mean.Seconds(), 4)))
	m.slowness = (1-slownessWeight)*m.slowness + slownessWeight*ratio
	m.comparedRuns++
	m.Slow = m.comparedRuns >= minComparedRuns && m.slowness > slowThreshold
}

// runtimeRatio returns how the run times of a class compare with the owners' estimates, 1 if
// none was seen.
func (o *Outcomes) runtimeRatio(class string) float64 {
	if ratio, ok := o.runtimeRatios[class]; ok {
		return ratio
	}
	return 1
}

// EstimateRuntime returns how long a task of the job is expected to run.
func (o *Outcomes) EstimateRuntime(j *Job) units.Micros {
	if mean := j.MeanRuntime(); mean > 0 {
		return mean
	}
	return units.Micros(float64(j.Spec.Estimate) * o.runtimeRatio(j.Spec.Class))
}

const (
	// quarantineAfterJobs is how many jobs must fail on a machine, with no success
	// between, before the machine is blamed and not the jobs.
	quarantineAfterJobs = 2
	// quarantineAfterErrors is how many attempts in a row of a job that has succeeded before
	// must fail until the machine of the last one is blamed.
	quarantineAfterErrors = 3
	// blameJobAfterMachines is on how many machines a job must fail, without a success
	// anywhere, before it is blamed and not the machines.
	blameJobAfterMachines = 3
)

// AttemptFailed learns from an attempt that ended in an error. A job that never
// succeeded anywhere and fails on several machines was submitted with a
// mistake: it is retried ever more slowly and no machine is blamed for it.
func (o *Outcomes) AttemptFailed(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	j.ConsecutiveErrors++
	j.FailedMachines[m.ID] = true
	if !j.Succeeded && len(j.FailedMachines) >= blameJobAfterMachines {
		shift := min(len(j.FailedMachines)+j.ConsecutiveErrors/4, maxBackoffShift)
		j.RetryAt = now + min(errorBackoff<<shift, maxErrorBackoff)
		for _, other := range o.machines {
			delete(other.failedJobs, j.Spec.ID)
		}
		return
	}
	m.failedJobs[j.Spec.ID] = true
	if len(m.failedJobs) >= quarantineAfterJobs || (j.Succeeded && j.ConsecutiveErrors >= quarantineAfterErrors) {
		m.Quarantined = true
	}
}

// steadyRuntime is how long a service's replica runs until its machine and its job
// are thought to be in order.
const steadyRuntime = 20 * units.Second

// maxServiceFailedMachines bounds the machines that a service avoids because a replica ended there.
const maxServiceFailedMachines = 3

// isSteady reports whether a replica has run for long.
func (a *Attempt) isSteady(now units.Micros) bool {
	return a.RunningSince > 0 && now-a.RunningSince >= steadyRuntime
}

// ReplicaSteady learns from a replica that runs.
func (o *Outcomes) ReplicaSteady(a *Attempt, now units.Micros) {
	if !a.isSteady(now) {
		return
	}
	j := a.Job
	clear(a.Machine.failedJobs)
	delete(j.shortRuns, a.Index)
	j.ConsecutiveErrors, j.Succeeded = 0, true
	if len(j.FailedMachines) >= maxServiceFailedMachines {
		clear(j.FailedMachines) // machines to be avoided, while they are few
	}
}

// ReplicaEnded learns from a replica that ended by itself, with an error or without.
// One that keeps ending is started again ever more slowly, and elsewhere.
func (o *Outcomes) ReplicaEnded(a *Attempt, failed bool, now units.Micros) {
	o.ReplicaSteady(a, now)
	j := a.Job
	if a.isSteady(now) {
		return
	}
	if failed {
		o.AttemptFailed(a, now)
	}
	j.FailedMachines[a.Machine.ID] = true
	if j.shortRuns == nil {
		j.shortRuns = map[int]int{}
	}
	j.shortRuns[a.Index]++
	if n := j.shortRuns[a.Index]; n > 1 {
		j.RetryAt = max(j.RetryAt, now+min(replicaBackoff<<min(n-2, maxBackoffShift), maxReplicaBackoff))
	}
}
