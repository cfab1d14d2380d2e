package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// trustedEstimateShare is the part of an estimate that is relied on to call a job late:
// estimates are often wrong by half, and what is called late waits behind all
// the rest, though it might have been in time.
const trustedEstimateShare = 2.0 / 3

// rankInput returns what the policy's rank of a job is worked out from.
func (sc *Scheduler) rankInput(job *cluster.Job) config.RankInput {
	spec := &job.Spec
	waited := max(0, sc.Clock.Wall()-job.Submitted)
	estimate := sc.State.Outcomes.EstimateRuntime(job)
	in := config.RankInput{
		Class:      spec.Class,
		Team:       spec.Team,
		Priority:   int(spec.Priority),
		Tasks:      spec.Tasks,
		Unfinished: job.Unfinished(),
		Pending:    job.Pending(),
		WaitedS:    waited.Seconds(),
		RunS:       estimate.Seconds(),
		WorkS:      estimate.Seconds() * float64(job.Unfinished()) * spec.Request.CPU.Float(),
		StartDueS:  config.NoDeadline,
	}
	in.FinishS = in.RunS
	if team := sc.State.Teams[spec.Team]; team != nil && team.QuotaLimit.CPU > 0 {
		in.FinishS = max(in.RunS, in.WorkS/team.QuotaLimit.CPU.Float())
	}
	in.DueS, in.Late = sc.nextDue(spec.Class, spec.Deadline, waited, in.FinishS)
	if due := sc.Settings.Fleet.StartObjective(spec.Class); due > 0 {
		in.StartDueS = (due - waited).Seconds()
	}
	return in
}

// nextDue returns the seconds left until the first deadline that a job can still meet when it
// takes finishS seconds from now on, else until the last one, which it misses then.
func (sc *Scheduler) nextDue(class string, deadline, waited units.Micros, finishS float64) (dueS float64, late bool) {
	dueS = config.NoDeadline
	for _, due := range sc.Settings.Fleet.CompletionObjectives(class, deadline) {
		dueS = (due - waited).Seconds()
		late = dueS < finishS*trustedEstimateShare
		if !late {
			break
		}
	}
	return dueS, late
}
