package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// noCapacityPause is how long a machine that refused a start for want of room gets none.
const noCapacityPause = 2 * units.Second

func (rc *Reconciler) taskExited(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := rc.State.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j != nil && task.Cause == protocol.CauseDone && key.Index < j.Spec.Tasks && !j.IsDone(key.Index) {
			rc.State.TaskDone(j, key.Index, now)
			if other := j.LiveAttempts[key.Index]; other != nil {
				rc.State.StopAttempt(other, 0)
			}
		}
		return
	}
	// The job may have ended and left the ledger while an attempt of a task
	// that was done elsewhere was still on its way out.
	j = a.Job
	if rc.Tracer.Enabled() {
		rc.Log.Debug("task ended", "task", a.TaskName(), "attempt", a.Number, "machine", m.ID, "cause", task.Cause, "saved", task.Checkpointed)
	}
	switch task.Cause {
	case protocol.CauseDone:
		if j.IsService() {
			rc.State.ReplicaEnded(a, false, now)
			break
		}
		rc.State.Completions.Freed(j.Spec.Request.CPU)
		rc.State.AttemptCompleted(a, now)
		rc.State.TaskDone(j, key.Index, now)
		if j.Complete() {
			rc.WriteSignal.Raise()
		}
	case protocol.CauseError:
		if j.IsService() {
			rc.State.ReplicaEnded(a, true, now)
		} else {
			rc.State.AttemptFailed(a, now)
		}
		if m.Quarantined {
			rc.Log.Info("machine set aside as faulty", "machine", m.ID, "task", a.TaskName())
		}
	case protocol.CauseNoCapacity:
		m.BlockedUntil = now + noCapacityPause
	case protocol.CauseNoSuchTask, protocol.CauseInUse:
		j.RetryAt = now + units.Second
	}
	rc.State.AttemptGone(a, now)
	if j.Cancelled && len(j.LiveAttempts) == 0 {
		j.MarkChanged(now, true)
		rc.WriteSignal.Raise()
	}
}

func (rc *Reconciler) taskAlive(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := rc.State.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j == nil || key.Index >= j.Spec.Tasks || j.IsDone(key.Index) || j.LiveAttempts[key.Index] != nil {
			return // commands will stop it
		}
		a = rc.State.Adopt(j, key.Index, key.Number, m, now)
		rc.Tracer.Trace("attempt adopted", a)
	}
	j = a.Job
	a.SeenSequence = m.Sequence
	switch task.Stage {
	case protocol.TaskFetching:
		a.Stage = cluster.Fetching
	case protocol.TaskRunning:
		if a.Stage != cluster.Running {
			a.Stage, a.RunningSince = cluster.Running, now
			j.Started = true
			rc.Tracer.Trace("task runs", a)
			rc.State.RecordImage(m, j)
		}
		if j.IsService() {
			rc.State.ReplicaSteady(a, now)
		}
	case protocol.TaskCheckpointing:
		a.Stage = cluster.Checkpointing
	}
}
