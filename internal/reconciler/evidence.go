package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// What this file logs tells afterwards what a leader knew, from which message, and why it sent
// a command. Nothing is formatted for a line that would be dropped.

// rivals are the attempts that a heartbeat added to tasks which have another attempt.
type rivals struct {
	first *cluster.Attempt // nil: none
	count int
}

// add notes an attempt that was adopted.
func (r *rivals) add(attempt *cluster.Attempt) {
	if r.first == nil {
		r.first = attempt
	}
	r.count++
}

// logRivals logs, in one line a heartbeat, that a machine shows tasks of which another attempt
// is known: one of the two is over, or the task runs twice.
func (rc *Reconciler) logRivals(found rivals, heartbeat *protocol.Heartbeat) {
	if found.first == nil {
		return
	}
	rc.Metrics.Rivals.Add(found.count)
	other := anyRival(found.first)
	rc.Log.Info("task claimed by two machines", "task", found.first.TaskName(), "tasks", found.count,
		"attempt", found.first.Number, "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation,
		"sequence", heartbeat.Sequence, "shows_token", heartbeat.FencingToken,
		"other_attempt", other.Number, "other_machine", other.Machine.ID, "other_incarnation", other.Machine.Incarnation,
		"other_sequence", other.Machine.Sequence, "other_shows_token", other.Machine.FencingToken)
}

// anyRival returns the latest other attempt of an attempt's task, the attempt itself if there is
// none.
func anyRival(attempt *cluster.Attempt) *cluster.Attempt {
	for other := range attempt.Job.LiveAttempts.Of(attempt.Index) {
		if other != attempt {
			return other
		}
	}
	return attempt
}

// heartbeatIgnored counts and logs a heartbeat without effect. m is nil if its machine was
// released.
func (rc *Reconciler) heartbeatIgnored(heartbeat *protocol.Heartbeat, m *cluster.Machine) {
	rc.Metrics.StaleHeartbeats.Inc()
	if !rc.Tracer.Enabled() {
		return
	}
	if m == nil {
		rc.Log.Debug("heartbeat of a released machine", "machine", heartbeat.Machine, "sequence", heartbeat.Sequence)
		return
	}
	rc.Log.Debug("heartbeat older than one handled", "machine", m.ID, "incarnation", heartbeat.Incarnation,
		"sequence", heartbeat.Sequence, "shows_token", heartbeat.FencingToken,
		"handled_incarnation", m.Incarnation, "handled_sequence", m.Sequence)
}

// machineReconciled logs that a machine has shown the leader's token, and which jobs became
// free to place by that.
func (rc *Reconciler) machineReconciled(m *cluster.Machine, freed []*cluster.Job, now units.Micros) {
	if !rc.Tracer.Enabled() {
		return
	}
	rc.Log.Debug("machine reconciled", "machine", m.ID, "incarnation", m.Incarnation, "sequence", m.Sequence,
		"attempts", len(m.Attempts), "jobs_freed", len(freed))
	for _, job := range freed {
		rc.Log.Debug("job free to place", "job", job.Spec.ID, "last_machine", m.ID, "pending", job.Pending(),
			"learned_ms_ago", (now-job.LearnedAt)/units.Millisecond)
	}
}

// logStart logs on what grounds a start is sent.
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

// logStop logs on what grounds a stop is sent. attempt is nil where the state does not have it.
func (rc *Reconciler) logStop(attempt *cluster.Attempt, task *protocol.TaskStatus, m *cluster.Machine) {
	rc.Metrics.StopsSent.Inc()
	if rc.Tracer.Enabled() {
		rc.Log.Debug("stop sent", "task", protocol.TaskName(task.Job, task.Index), "attempt", task.Attempt,
			"machine", m.ID, "sequence", m.Sequence, "why", stopReasonOf(attempt))
	}
}

// stopReason says why an attempt is stopped.
type stopReason string

// The reasons.
const (
	stopUnknown   stopReason = "no such job or task"
	stopCancelled stopReason = "job cancelled"
	stopDone      stopReason = "task done"
	stopRival     stopReason = "another attempt of the task is known"
	stopPreempted stopReason = "preempted or evicted"
)

// String returns the reason as it is logged.
func (r stopReason) String() string { return string(r) }

// stopReasonOf returns why an attempt is stopped. attempt is nil where the state does not have
// it.
func stopReasonOf(attempt *cluster.Attempt) stopReason {
	switch {
	case attempt == nil:
		return stopUnknown
	case attempt.Job.Cancelled:
		return stopCancelled
	case attempt.Job.IsDone(attempt.Index):
		return stopDone
	case attempt.HasRival():
		return stopRival
	}
	return stopPreempted
}
