package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// How long starts wait after a refusal, for the state to be corrected by other heartbeats.
const (
	noCapacityPause = 2 * units.Second // for the machine that refused for want of capacity
	retryPause      = units.Second     // for the job, whose task the machine does not know or runs already
)

// attemptKey returns the key of the attempt that a task's status is about.
func attemptKey(task *protocol.TaskStatus) cluster.AttemptKey {
	return cluster.AttemptKey{Job: task.Job, Index: task.Index, Number: task.Attempt}
}

// taskExited applies the status of a task that has ended.
func (rc *Reconciler) taskExited(m *cluster.Machine, task *protocol.TaskStatus, now units.Micros) {
	attempt := m.Attempts[attemptKey(task)]
	if attempt == nil {
		rc.unknownTaskExited(task, now)
		return
	}
	// The job may have ended and left the state while an attempt of a task
	// that was done elsewhere was still on its way out.
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
		m.BlockedUntil = now + noCapacityPause
	case protocol.CauseNoSuchTask, protocol.CauseInUse:
		job.RetryAt = now + retryPause
	}
	rc.State.RemoveAttempt(attempt, now)
	if job.Cancelled && len(job.LiveAttempts) == 0 {
		job.MarkChanged(now, true)
		rc.WriteSignal.Raise()
	}
}

// unknownTaskExited applies the end of an attempt that the state does not have on its machine.
// If it completed its task, another attempt of the task is stopped.
func (rc *Reconciler) unknownTaskExited(task *protocol.TaskStatus, now units.Micros) {
	job := rc.State.Jobs[task.Job]
	if job == nil || task.Cause != protocol.CauseDone || task.Index >= job.Spec.Tasks || job.IsDone(task.Index) {
		return
	}
	rc.taskCompleted(job, task.Index, now)
}

// taskCompleted notes that a task has completed, and stops the attempts of it that are left.
func (rc *Reconciler) taskCompleted(job *cluster.Job, task int, now units.Micros) {
	rc.State.TaskDone(job, task, now)
	rc.State.StopUnwanted(job, task)
}

func (rc *Reconciler) attemptCompleted(attempt *cluster.Attempt, now units.Micros) {
	job := attempt.Job
	if job.IsService() {
		rc.State.Outcomes.ReplicaEnded(attempt, false, now)
		return
	}
	rc.State.Completions.Freed(job.Spec.Request.CPU)
	rc.State.Outcomes.AttemptCompleted(attempt, now)
	rc.taskCompleted(job, attempt.Index, now)
	if job.Complete() {
		rc.WriteSignal.Raise()
	}
}

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

// taskLive applies the status of a task that has not ended. It returns the attempt if this
// adopted it, else nil.
func (rc *Reconciler) taskLive(m *cluster.Machine, task *protocol.TaskStatus, now units.Micros) (adopted *cluster.Attempt) {
	attempt := m.Attempts[attemptKey(task)]
	if attempt == nil {
		if adopted = rc.adopt(m, task, now); adopted == nil {
			return nil // Commands stops it
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

// adopt adds an attempt that a former leader started to the state, wanted or not: it takes
// capacity and quota until it is known to be gone. It returns nil if there is no such job or
// task, as it is not known then what it takes.
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
