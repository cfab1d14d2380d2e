package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// checkpointMargin is what a task that is stopped gets to save beyond what its owner states.
const checkpointMargin = 2 * units.Second

// apply takes a plan over into the ledger.
func (sc *Scheduler) apply(wanted Decisions, refs *snapshotIndex, now units.Micros) {
	gangs := map[int]bool{}
	var number uint64
	for _, w := range wanted.Placements {
		j, m := refs.jobs[w.Job], refs.machines[w.Machine]
		for range w.Count {
			// A gang's tasks find each other by the attempt they share.
			if j.Spec.Kind != protocol.Gang || !gangs[w.Job] {
				number = sc.State.NextAttempt(sc.Token)
				gangs[w.Job] = true
			}
			a := sc.State.Assign(j, m, number, now)
			if a == nil {
				break
			}
			sc.Tracer.Trace("task placed", a)
			sc.Metrics.Placed(now - j.LearnedAt)
		}
		if !j.MachineIsDurable(m.ID) {
			sc.WriteSignal.Raise()
		}
		if j.IsService() {
			sc.Pusher.RequestPush(m, j, now)
		}
	}
	for _, p := range wanted.Preemptions {
		a := refs.victims[p.Victim]
		sc.State.StopAttempt(a, a.Job.Spec.CheckpointDuration+checkpointMargin)
		sc.Pusher.RequestPush(a.Machine, nil, now)
		sc.Log.Info("task preempted", "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.Job].Spec.ID, "for_class", refs.jobs[p.Job].Spec.Class)
	}
}
