package scheduler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/config"
)

// trustedEstimateShare is the part of an estimate that is relied on to call a job late:
// estimates are often wrong by half, and what is called late waits behind all
// the rest, though it might have been in time.
const trustedEstimateShare = 2.0 / 3

func (sc *Scheduler) rankInput(j *cluster.Job) config.RankInput {
	waited := max(0, sc.Clock.Wall()-j.Submitted)
	estimate := sc.State.EstimateRuntime(j)
	in := config.RankInput{
		Class: j.Spec.Class, Team: j.Spec.Team, Priority: int(j.Spec.Priority),
		Tasks: j.Spec.Tasks, Unfinished: j.Unfinished(), Pending: j.Pending(),
		WaitedS: waited.Seconds(), RunS: estimate.Seconds(),
		WorkS: estimate.Seconds() * float64(j.Unfinished()) * j.Spec.Request.CPU.Float(),
		DueS:  config.NoDeadline, StartDueS: config.NoDeadline,
	}
	in.FinishS = in.RunS
	if team := sc.State.Teams[j.Spec.Team]; team != nil && team.QuotaLimit.CPU > 0 {
		in.FinishS = max(in.RunS, in.WorkS/team.QuotaLimit.CPU.Float())
	}
	for _, due := range sc.Settings.Fleet.Dues(j.Spec.Class, j.Spec.Deadline) {
		in.DueS = (due - waited).Seconds()
		in.Late = in.DueS < in.FinishS*trustedEstimateShare
		if !in.Late {
			break
		}
	}
	if due := sc.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		in.StartDueS = (due - waited).Seconds()
	}
	return in
}
