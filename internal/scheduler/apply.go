package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// preemptionGraceMargin is added to a job's checkpoint duration to give the grace period of a
// preempted task.
const preemptionGraceMargin = 2 * units.Second

// apply applies the placements and preemptions of a plan to the state. RunCycle itself stores
// the reservations.
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
			// The tasks of a gang share an attempt number, by which they find each other.
			if job.Spec.Kind != protocol.Gang || !gangsStarted[placement.Job] {
				number = sc.State.NextAttempt(sc.Token)
				gangsStarted[placement.Job] = true
			}
			attempt := sc.State.Assign(job, machine, number, now)
			if attempt == nil {
				break
			}
			sc.Tracer.Trace("task placed", attempt)
			sc.Metrics.ObservePlacementDelay(now - job.LearnedAt)
		}
		if !job.MachineNameIsDurable(machine.ID) {
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
		sc.State.StopAttempt(attempt, attempt.Job.Spec.CheckpointDuration+preemptionGraceMargin)
		sc.Pusher.RequestPush(attempt.Machine, nil, now)
		sc.Log.Info("task preempted", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.ID,
			"class", attempt.Job.Spec.Class, "for", job.Spec.ID, "for_class", job.Spec.Class)
	}
}
