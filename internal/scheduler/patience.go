package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// starvationAge is how long a job may wait for its first task until that goes
// before everything else: half of the four minutes in which every job is to
// begin.
const starvationAge = 120 * units.Second

// starved reports whether a job has waited too long and has nothing done yet. Services that
// have started are never starved, nor are gangs.
func (sc *Scheduler) starved(job *cluster.Job) bool {
	return job.DoneCount() == 0 && !(job.IsService() && job.Started) &&
		sc.Clock.Wall()-job.Submitted > starvationAge && job.Spec.Kind != protocol.Gang
}

const (
	// defaultPatience is how long a job waits for free capacity where no service-level
	// objective says how soon it is to start.
	defaultPatience = 2 * units.Second
	// The parts of the objectives' times, of a team's guarantee and of an urgent job's start,
	// that a job may spend waiting.
	guaranteePatienceShare = 4
	startPatienceShare     = 8
)

// awaitsCompletions reports whether a job waits before tasks of others are preempted for it.
// What is preempted has to be done again, and in a large fleet tasks end all the
// time: where they free enough capacity for the job in a part of what the users'
// objectives allow, it waits that long.
func (sc *Scheduler) awaitsCompletions(job *cluster.Job, now units.Micros) bool {
	patience := sc.patience(job)
	return now-job.LearnedAt < patience &&
		sc.State.Completions.Within(patience) >= job.Spec.Request.CPU*units.Amount(job.Pending())
}

// patience returns how long a job waits for others to end by themselves.
func (sc *Scheduler) patience(job *cluster.Job) units.Micros {
	if job.Spec.Priority < protocol.High {
		if due := sc.Settings.Fleet.GuaranteedStartObjective(); due > 0 {
			return due / guaranteePatienceShare
		}
	} else if due := sc.Settings.Fleet.StartObjective(job.Spec.Class); due > 0 {
		return due / startPatienceShare
	}
	return defaultPatience
}
