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

// starved tells whether a job has waited too long and has nothing done yet.
func (sc *Scheduler) starved(j *cluster.Job) bool {
	return j.DoneCount() == 0 && !(j.IsService() && j.Started) && sc.Clock.Wall()-j.Submitted > starvationAge && j.Spec.Kind != protocol.Gang
}

// defaultPatience is how long a job waits for room where no aim says how soon it is to
// start.
const defaultPatience = 2 * units.Second

// awaitsCompletions tells whether a job waits before tasks of others are stopped for it.
// What is stopped has to be done again, and in a large fleet tasks end all the
// time: where they leave room enough for the job in a part of what the users'
// aims allow, it waits that long.
func (sc *Scheduler) awaitsCompletions(j *cluster.Job, now units.Micros) bool {
	patience := defaultPatience
	if j.Spec.Priority < protocol.High {
		if due := sc.Settings.Fleet.GuaranteeDue(); due > 0 {
			patience = due / 4
		}
	} else if due := sc.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		patience = due / 8
	}
	return now-j.LearnedAt < patience && sc.State.Completions.Within(patience) >= j.Spec.Request.CPU*units.Amount(j.Pending())
}
