package cluster

import (
	"math"

	"dunestand/internal/units"
)

// Outcomes evaluates finished attempts: it estimates run times, sets the time of retries and
// detects slow and faulty machines. Statistics of one job or machine are stored in the Job or
// Machine. The mutex of its State guards it.
type Outcomes struct {
	// OnRunObserved, if set, is called with the state's mutex held for each completed attempt
	// that a heartbeat has shown running.
	OnRunObserved func(j *Job, run units.Micros)

	runtimeRatios map[string]float64 // by class: moving mean of run time / owner's estimate
	machines      map[string]*Machine
}

func newOutcomes(machines map[string]*Machine) Outcomes {
	return Outcomes{runtimeRatios: map[string]float64{}, machines: machines}
}

// Bounds of the exponential backoff for jobs whose tasks fail and for replicas that end soon
// after their start.
const (
	errorBackoff      = units.Second / 4
	maxErrorBackoff   = 60 * units.Second
	replicaBackoff    = units.Second / 2
	maxReplicaBackoff = 30 * units.Second
	maxBackoffShift   = 8
)

// A machine counts as slow if it has completed at least minComparedRuns compared runs and the
// geometric moving mean of run time / mean run time of the job is above 1.5.
const (
	minComparedRuns = 6
	slowThreshold   = 0.6  // log2(1.5)
	slownessWeight  = 0.15 // weight of a run in the moving mean
)

// A run is compared with its job's mean run time only if the mean is of at least
// minObservedRuns runs and above minComparedRuntime.
const (
	minObservedRuns    = 3
	minComparedRuntime = 2 * units.Second
)

// ratioWeight is the weight of a run in the moving mean of its class, see Outcomes.
const ratioWeight = 0.05

// AttemptCompleted records an attempt that has completed: it resets the failures of its job and
// machine and, if the attempt was observed running, adds its run time to the statistics.
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
	if !m.Slow { // runs on a slow machine would distort the mean run time of the job
		j.totalRuntime += run
		j.observedRuns++
	}
	if e := j.Spec.Estimate; e > 0 {
		ratio := max(0.1, min(run.Seconds()/e.Seconds(), 10))
		o.runtimeRatios[j.Spec.Class] = (1-ratioWeight)*o.runtimeRatio(j.Spec.Class) + ratioWeight*ratio
	}
}

// compareRun updates the machine's slowness with a run and the mean run time of its job. Tasks
// of one job differ widely in run time, so a machine counts as slow only after several runs. On
// the logarithmic scale a run of twice the mean and one of half the mean cancel out.
func (m *Machine) compareRun(run, mean units.Micros) {
	ratio := math.Log2(max(0.25, min(run.Seconds()/mean.Seconds(), 4)))
	m.slowness = (1-slownessWeight)*m.slowness + slownessWeight*ratio
	m.comparedRuns++
	m.Slow = m.comparedRuns >= minComparedRuns && m.slowness > slowThreshold
}

// runtimeRatio returns the runtime ratio of a class: the moving mean of run time / owner's
// estimate, or 1 if no run was observed.
func (o *Outcomes) runtimeRatio(class string) float64 {
	if ratio, ok := o.runtimeRatios[class]; ok {
		return ratio
	}
	return 1
}

// EstimateRuntime returns the expected run time of a task of the job: the mean of its observed
// runs, or its owner's estimate corrected by the runtime ratio of its class.
func (o *Outcomes) EstimateRuntime(j *Job) units.Micros {
	if mean := j.MeanRuntime(); mean > 0 {
		return mean
	}
	return units.Micros(float64(j.Spec.Estimate) * o.runtimeRatio(j.Spec.Class))
}

const (
	// quarantineAfterJobs is the number of jobs that must fail on a machine, without a success
	// in between, before the machine is quarantined.
	quarantineAfterJobs = 2
	// quarantineAfterErrors applies to a job that has succeeded before: it is the number of
	// consecutive failed attempts after which the machine of the last one is quarantined.
	quarantineAfterErrors = 3
	// backOffAfterMachines is the number of machines on which a job must fail, without any
	// success, before it is retried with backoff and its failures no longer count against the
	// machines.
	backOffAfterMachines = 3
)

// AttemptFailed records an attempt that ended in an error, and quarantines its machine if the
// machine is the likely cause. A job that has never succeeded and fails on several machines is
// itself the likely cause: it is retried with exponential backoff, and its failures do not
// count against the machines.
func (o *Outcomes) AttemptFailed(a *Attempt, now units.Micros) {
	j, m := a.Job, a.Machine
	j.ConsecutiveErrors++
	j.FailedMachines.add(m.ID, now)
	if !j.Succeeded && len(j.FailedMachines) >= backOffAfterMachines {
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

// steadyRuntime is the run time after which a service's replica counts as a success of its job
// and machine.
const steadyRuntime = 20 * units.Second

// maxServiceFailedMachines is the number of failed machines of a service at which a steady
// replica clears their list.
const maxServiceFailedMachines = 3

// isSteady reports whether a replica has run for at least steadyRuntime.
func (a *Attempt) isSteady(now units.Micros) bool {
	return a.RunningSince > 0 && now-a.RunningSince >= steadyRuntime
}

// ReplicaSteady records a running replica as a success of its job and machine. It has no effect
// before the replica has run for steadyRuntime.
func (o *Outcomes) ReplicaSteady(a *Attempt, now units.Micros) {
	if !a.isSteady(now) {
		return
	}
	j := a.Job
	clear(a.Machine.failedJobs)
	delete(j.shortRuns, a.Index)
	j.ConsecutiveErrors, j.Succeeded = 0, true
	if len(j.FailedMachines) >= maxServiceFailedMachines {
		clear(j.FailedMachines) // a service avoids only a few machines
	}
}

// ReplicaEnded records a replica that ended without being stopped. Replicas that repeatedly end
// soon after their start are restarted with exponential backoff and on other machines. failed is
// set if the replica ended in an error.
func (o *Outcomes) ReplicaEnded(a *Attempt, failed bool, now units.Micros) {
	o.ReplicaSteady(a, now)
	j := a.Job
	if a.isSteady(now) {
		return
	}
	if failed {
		o.AttemptFailed(a, now)
	}
	j.FailedMachines.add(a.Machine.ID, now)
	if j.shortRuns == nil {
		j.shortRuns = map[int]int{}
	}
	j.shortRuns[a.Index]++
	if n := j.shortRuns[a.Index]; n > 1 {
		j.RetryAt = max(j.RetryAt, now+min(replicaBackoff<<min(n-2, maxBackoffShift), maxReplicaBackoff))
	}
}
