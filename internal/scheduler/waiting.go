package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// starvationAge is the time after which a job that still waits for its first task is starved:
// half of the four minutes within which every job is to start.
const starvationAge = 120 * units.Second

// longWait is the time after which a job takes machines that it would rather not, if no other has
// room: no job is to wait for 90 s beside a machine that fits.
const longWait = 30 * units.Second

// starved reports whether a job was submitted more than starvationAge ago and has no task done.
// A gang is never starved, nor is a service that has started. Live attempts are not considered.
func (sc *Scheduler) starved(job *cluster.Job) bool {
	return job.DoneCount() == 0 && !(job.IsService() && job.Started) &&
		sc.Clock.Wall()-job.Submitted > starvationAge && job.Spec.Kind != protocol.Gang
}

const (
	// defaultCompletionWait applies to jobs without a service-level objective for their start.
	defaultCompletionWait = 2 * units.Second
	// The maximum wait for completions is the time that an objective allows for the start of
	// the job, divided by guaranteedStartWaitDivisor for an objective on jobs within their
	// team's guaranteed quota, and by urgentStartWaitDivisor for one on an urgent job's class.
	guaranteedStartWaitDivisor = 4
	urgentStartWaitDivisor     = 8
)

// awaitsCompletions reports whether a job waits for running tasks to complete before any is
// preempted for it. The work of preempted tasks has to be done again, while in a large fleet
// tasks complete all the time. The job therefore waits for a fraction of its start objective if
// completions are expected to free enough CPUs for its pending tasks in that time.
func (sc *Scheduler) awaitsCompletions(job *cluster.Job, now units.Micros) bool {
	maxWait := sc.completionWait(job)
	return now-job.LearnedAt < maxWait &&
		sc.State.Completions.Within(maxWait) >= job.Spec.Request.CPU*units.Amount(job.Pending())
}

// completionWait returns the longest time that a job waits for running tasks to complete before
// tasks are preempted for it.
func (sc *Scheduler) completionWait(job *cluster.Job) units.Micros {
	if job.Spec.Priority < protocol.High {
		if due := sc.Settings.Fleet.GuaranteedStartObjective(); due > 0 {
			return due / guaranteedStartWaitDivisor
		}
	} else if due := sc.Settings.Fleet.StartObjective(job.Spec.Class); due > 0 {
		return due / urgentStartWaitDivisor
	}
	return defaultCompletionWait
}
