package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Delays before the next start after a worker has refused one. Heartbeats that arrive in the
// meantime correct the state that led to the refused start.
const (
	noCapacityBackoff   = 2 * units.Second // for starts on a machine that had no capacity
	refusedStartBackoff = units.Second     // for starts of a job whose task the machine does not know or already runs
)

// attemptKey returns the key of the attempt that a task status describes.
func attemptKey(task *protocol.TaskStatus) cluster.AttemptKey {
	return cluster.AttemptKey{Job: task.Job, Index: task.Index, Number: task.Attempt}
}

// applyExitedTask applies the status of a task that has ended.
func (rc *Reconciler) applyExitedTask(m *cluster.Machine, task *protocol.TaskStatus, now units.Micros) {
	attempt := m.Attempts[attemptKey(task)]
	if attempt == nil {
		rc.applyUnknownExit(task, now)
		return
	}
	// The job may no longer be in State.Jobs: it may have finished while this attempt, of a task
	// that another attempt completed, was still stopping.
	job := attempt.Job
	if rc.Tracer.Enabled() {
		rc.Log.Debug("task exited", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", m.ID,
			"cause", task.Cause, "checkpointed", task.Checkpointed)
	}
	switch task.Cause {
	case protocol.CauseDone:
		rc.attemptCompleted(attempt, now)
	case protocol.CauseError:
		rc.attemptFailed(attempt, now)
	case protocol.CauseNoCapacity:
		m.BlockedUntil = now + noCapacityBackoff
	case protocol.CauseNoSuchTask, protocol.CauseInUse:
		job.RetryAt = now + refusedStartBackoff
	}
	rc.State.RemoveAttempt(attempt, now)
	if job.Cancelled && len(job.LiveAttempts) == 0 {
		job.MarkChanged(now, true)
		rc.WriteSignal.Raise()
	}
}

// applyUnknownExit applies the status of an ended attempt that the state does not have on the
// machine. If the attempt completed its task, the task is done and its other attempts are stopped.
func (rc *Reconciler) applyUnknownExit(task *protocol.TaskStatus, now units.Micros) {
	job := rc.State.Jobs[task.Job]
	if job == nil || task.Cause != protocol.CauseDone || task.Index >= job.Spec.Tasks || job.IsDone(task.Index) {
		return
	}
	rc.taskCompleted(job, task.Index, now)
}

// taskCompleted records that a task is done, and stops its remaining attempts. A replica of a
// service is never done, so its latest attempt continues.
func (rc *Reconciler) taskCompleted(job *cluster.Job, task int, now units.Micros) {
	rc.State.TaskDone(job, task, now)
	rc.State.StopUnwanted(job, task)
}

// attemptCompleted applies the successful end of an attempt.
func (rc *Reconciler) attemptCompleted(attempt *cluster.Attempt, now units.Micros) {
	job := attempt.Job
	if job.IsService() {
		rc.State.Outcomes.ReplicaEnded(attempt, false, now)
		return
	}
	rc.State.Completions.RecordFreed(job.Spec.Request.CPU)
	rc.State.Outcomes.AttemptCompleted(attempt, now)
	rc.taskCompleted(job, attempt.Index, now)
	if job.Complete() {
		rc.WriteSignal.Raise()
	}
}

// attemptFailed applies the end of an attempt with an error.
func (rc *Reconciler) attemptFailed(attempt *cluster.Attempt, now units.Micros) {
	if attempt.Job.IsService() {
		rc.State.Outcomes.ReplicaEnded(attempt, true, now)
	} else {
		rc.State.Outcomes.AttemptFailed(attempt, now)
	}
	if attempt.Machine.Quarantined {
		rc.Log.Info("machine quarantined", "machine", attempt.Machine.ID, "task", attempt.TaskName())
	}
}

// applyLiveTask applies the status of a task that has not ended. If the state does not have the
// attempt, applyLiveTask adopts and returns it; otherwise it returns nil.
func (rc *Reconciler) applyLiveTask(m *cluster.Machine, task *protocol.TaskStatus, now units.Micros) (adopted *cluster.Attempt) {
	attempt := m.Attempts[attemptKey(task)]
	if attempt == nil {
		if adopted = rc.adopt(m, task, now); adopted == nil {
			return nil // Commands sends a stop for it
		}
		attempt = adopted
	}
	attempt.SeenSequence = m.Sequence
	switch task.Stage {
	case protocol.TaskFetching:
		attempt.Stage = cluster.Fetching
	case protocol.TaskRunning:
		rc.attemptRunning(attempt, now)
	case protocol.TaskCheckpointing:
		attempt.Stage = cluster.Checkpointing
	}
	return adopted
}

// adopt adds an attempt that a former leader started to the state, even if it is to be stopped: it
// uses capacity and quota until it is known to be gone. adopt returns nil if the job or task is
// unknown, since its resource request is then unknown, too.
func (rc *Reconciler) adopt(m *cluster.Machine, task *protocol.TaskStatus, now units.Micros) *cluster.Attempt {
	job := rc.State.Jobs[task.Job]
	if job == nil || task.Index >= job.Spec.Tasks {
		return nil
	}
	attempt := rc.State.Adopt(job, task.Index, task.Attempt, m, now)
	rc.Metrics.Adopted.Inc()
	rc.Tracer.Trace("attempt adopted", attempt)
	return attempt
}

// attemptRunning applies the status of a running attempt.
func (rc *Reconciler) attemptRunning(attempt *cluster.Attempt, now units.Micros) {
	job := attempt.Job
	if attempt.Stage != cluster.Running {
		attempt.Stage, attempt.RunningSince = cluster.Running, now
		job.Started = true
		rc.Tracer.Trace("task running", attempt)
		attempt.Machine.RecordImage(job)
	}
	if job.IsService() {
		rc.State.Outcomes.ReplicaSteady(attempt, now)
	}
}
