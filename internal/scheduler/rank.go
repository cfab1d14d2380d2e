package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// lateEstimateFraction is the fraction of a job's estimated time to finish that must exceed
// the time left until a deadline for the job to count as late. Estimates are often wrong by
// half, and a job that is wrongly counted as late is scheduled after all others and misses a
// deadline that it could have met.
const lateEstimateFraction = 2.0 / 3

// rankInput returns the values from which the policy computes the rank of a job.
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

// nextDue returns the seconds left until the first deadline that a job can still meet if it
// finishes finishS seconds from now. If it misses all of them, nextDue returns the seconds
// until the last one and late is true. Without a deadline it returns config.NoDeadline.
func (sc *Scheduler) nextDue(class string, deadline, waited units.Micros, finishS float64) (dueS float64, late bool) {
	dueS = config.NoDeadline
	for _, due := range sc.Settings.Fleet.CompletionObjectives(class, deadline) {
		dueS = (due - waited).Seconds()
		late = dueS < finishS*lateEstimateFraction
		if !late {
			break
		}
	}
	return dueS, late
}
