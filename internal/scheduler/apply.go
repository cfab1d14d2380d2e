package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// checkpointMargin is the grace period of a task that is preempted, beyond the time that its
// owner states for a checkpoint.
const checkpointMargin = 2 * units.Second

// apply applies a plan to the state.
func (sc *Scheduler) apply(decisions Decisions, index *snapshotIndex, now units.Micros) {
	sc.applyPlacements(decisions.Placements, index, now)
	sc.applyPreemptions(decisions.Preemptions, index, now)
}

func (sc *Scheduler) applyPlacements(placements []Placement, index *snapshotIndex, now units.Micros) {
	gangsStarted := map[int]bool{}
	var number uint64
	for _, placement := range placements {
		job, machine := index.jobs[placement.Job], index.machines[placement.Machine]
		for range placement.Count {
			// A gang's tasks find each other by the attempt number they share.
			if job.Spec.Kind != protocol.Gang || !gangsStarted[placement.Job] {
				number = sc.State.NextAttempt(sc.Token)
				gangsStarted[placement.Job] = true
			}
			attempt := sc.State.Assign(job, machine, number, now)
			if attempt == nil {
				break
			}
			sc.Tracer.Trace("task placed", attempt)
			sc.Metrics.Placed(now - job.LearnedAt)
		}
		if !job.MachineIsDurable(machine.ID) {
			sc.WriteSignal.Raise()
		}
		if job.IsService() {
			sc.Pusher.RequestPush(machine, job, now)
		}
	}
}

func (sc *Scheduler) applyPreemptions(preemptions []Preemption, index *snapshotIndex, now units.Micros) {
	for _, preemption := range preemptions {
		attempt, job := index.victims[preemption.Victim], index.jobs[preemption.Job]
		sc.State.StopAttempt(attempt, attempt.Job.Spec.CheckpointDuration+checkpointMargin)
		sc.Pusher.RequestPush(attempt.Machine, nil, now)
		sc.Log.Info("task preempted", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.ID,
			"class", attempt.Job.Spec.Class, "for", job.Spec.ID, "for_class", job.Spec.Class)
	}
}
