package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The functions of this file log why the leader sent a command: the state that it held, and the
// heartbeat from which the state came. They compute the arguments of a debug line only if tracing is
// enabled.

// duplicateAttempts collects the attempts that one heartbeat added to tasks that already had
// another attempt.
type duplicateAttempts struct {
	first *cluster.Attempt // nil if there are none
	count int
}

// add records an adopted attempt whose task has another attempt.
func (d *duplicateAttempts) add(attempt *cluster.Attempt) {
	if d.first == nil {
		d.first = attempt
	}
	d.count++
}

// logDuplicateAttempts counts the duplicate attempts of a heartbeat and logs them in one line per
// heartbeat: of the two attempts of a task, one has ended, or the task runs twice.
func (rc *Reconciler) logDuplicateAttempts(duplicates duplicateAttempts, heartbeat *protocol.Heartbeat) {
	if duplicates.first == nil {
		return
	}
	rc.Metrics.DuplicateAttempts.Add(duplicates.count)
	other := otherAttempt(duplicates.first)
	rc.Log.Info("task claimed by two machines", "task", duplicates.first.TaskName(), "tasks", duplicates.count,
		"attempt", duplicates.first.Number, "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation,
		"sequence", heartbeat.Sequence, "shows_token", heartbeat.FencingToken,
		"other_attempt", other.Number, "other_machine", other.Machine.ID, "other_incarnation", other.Machine.Incarnation,
		"other_sequence", other.Machine.Sequence, "other_shows_token", other.Machine.FencingToken)
}

// otherAttempt returns the latest other attempt of the same task, or the attempt itself if there
// is no other.
func otherAttempt(attempt *cluster.Attempt) *cluster.Attempt {
	for other := range attempt.Job.LiveAttempts.Of(attempt.Index) {
		if other != attempt {
			return other
		}
	}
	return attempt
}

// recordIgnoredHeartbeat counts and logs a heartbeat that is not applied. m is nil if its machine
// was released.
func (rc *Reconciler) recordIgnoredHeartbeat(heartbeat *protocol.Heartbeat, m *cluster.Machine) {
	rc.Metrics.StaleHeartbeats.Inc()
	if !rc.Tracer.Enabled() {
		return
	}
	if m == nil {
		rc.Log.Debug("heartbeat from a released machine ignored", "machine", heartbeat.Machine, "sequence", heartbeat.Sequence)
		return
	}
	rc.Log.Debug("stale heartbeat ignored", "machine", m.ID, "incarnation", heartbeat.Incarnation,
		"sequence", heartbeat.Sequence, "shows_token", heartbeat.FencingToken,
		"handled_incarnation", m.Incarnation, "handled_sequence", m.Sequence)
}

// logMachineReconciled logs that a machine has shown the leader's fencing token, and the jobs that
// may be placed again because it was their last unreconciled machine.
func (rc *Reconciler) logMachineReconciled(m *cluster.Machine, freed []*cluster.Job, now units.Micros) {
	if !rc.Tracer.Enabled() {
		return
	}
	rc.Log.Debug("machine reconciled", "machine", m.ID, "incarnation", m.Incarnation, "sequence", m.Sequence,
		"attempts", len(m.Attempts), "jobs_freed", len(freed))
	for _, job := range freed {
		rc.Log.Debug("job may be placed again", "job", job.Spec.ID, "last_machine", m.ID, "pending", job.Pending(),
			"learned_ms_ago", (now-job.LearnedAt)/units.Millisecond)
	}
}

// logStart counts a start that is sent, and logs the state on which the decision rests.
func (rc *Reconciler) logStart(attempt *cluster.Attempt) {
	rc.Metrics.StartsSent.Inc()
	if !rc.Tracer.Enabled() {
		return
	}
	m := attempt.Machine
	rc.Log.Debug("start sent", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", m.ID,
		"incarnation", m.Incarnation, "sequence", m.Sequence, "shows_token", m.FencingToken,
		"record_version", attempt.Job.RecordVersion(), "unreconciled", len(attempt.Job.UnreconciledMachines))
}

// logStop counts a stop that is sent, and logs the reason. attempt is nil if the state has no such
// attempt on the machine.
func (rc *Reconciler) logStop(attempt *cluster.Attempt, task *protocol.TaskStatus, m *cluster.Machine) {
	rc.Metrics.StopsSent.Inc()
	if rc.Tracer.Enabled() {
		rc.Log.Debug("stop sent", "task", protocol.TaskName(task.Job, task.Index), "attempt", task.Attempt,
			"machine", m.ID, "sequence", m.Sequence, "why", stopReasonOf(attempt))
	}
}

// stopReason is the reason for which an attempt is stopped.
type stopReason string

// The reasons for a stop, as they are logged.
const (
	stopUnknown   stopReason = "no such job or task"
	stopCancelled stopReason = "job cancelled"
	stopDone      stopReason = "task done"
	stopDuplicate stopReason = "another attempt of the task is known"
	stopPreempted stopReason = "preempted or evicted"
)

// String returns the logged text of the reason.
func (r stopReason) String() string { return string(r) }

// stopReasonOf returns the reason for which an attempt is stopped. attempt is nil if the state has
// no such attempt on the machine.
func stopReasonOf(attempt *cluster.Attempt) stopReason {
	switch {
	case attempt == nil:
		return stopUnknown
	case attempt.Job.Cancelled:
		return stopCancelled
	case attempt.Job.IsDone(attempt.Index):
		return stopDone
	case attempt.HasDuplicate():
		return stopDuplicate
	}
	return stopPreempted
}
