// Package reconciler compares machines' heartbeats with the leader's state and works out the
// commands that each machine needs.
package reconciler

import (
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Deps is what a Reconciler works with.
type Deps struct {
	State       *cluster.State
	Detector    *failuredetector.Detector
	Log         *slog.Logger
	Tracer      cluster.AttemptTracer
	Token       uint64
	WriteSignal loop.Signal
	CycleSignal loop.Signal
}

// Reconciler compares what machines say in their heartbeats with the state, corrects the
// state, and works out the commands that a machine still needs. Its methods need the lock
// of state held.
type Reconciler struct {
	Deps
}

func New(deps Deps) *Reconciler {
	return &Reconciler{
		Deps: deps,
	}
}

// noCapacityPause is how long a machine that refused a start for want of room gets none.
const noCapacityPause = 2 * units.Second

func isNewer(r *protocol.Heartbeat, session, seq uint64) bool {
	return r.Incarnation > session || r.Incarnation == session && r.Sequence > seq
}

// Reconcile works out the difference between what a machine reports and what
// the ledger says of it. Old reports, and those of machines that were
// released, have no effect and give nil.
func (rc *Reconciler) Reconcile(r *protocol.Heartbeat, now units.Micros) *cluster.Machine {
	if rc.State.Released.Has(r.Machine) {
		return nil
	}
	m := rc.State.EnsureMachine(r.Machine, r.InstanceType, r.Zone, r.Spot, now)
	if m.Registered && !isNewer(r, m.Incarnation, m.Sequence) {
		return nil
	}
	rc.checkDelivery(m, r, now)
	rc.reconcileMachine(m, r, now)
	for i := range r.Tasks {
		task := &r.Tasks[i]
		key := cluster.AttemptKey{Job: task.Job, Index: task.Index, Number: task.Attempt}
		if task.Stage == protocol.TaskExited {
			rc.taskExited(m, key, task, now)
		} else {
			rc.taskAlive(m, key, task, now)
		}
	}
	rc.dropMissingAttempts(m, r, now)
	// Only a report that shows our term was sent after an answer of ours was
	// received. Any other may be a copy that comes late, of a machine that is
	// gone by now, and an answer of a former leader may still be on its way.
	if m.FencingToken != r.FencingToken && r.FencingToken == rc.Token {
		rc.State.Unreconciled.Resolve(m.ID)
		rc.CycleSignal.Raise()
	}
	m.FencingToken, m.MayHoldCancelled = r.FencingToken, false
	return m
}

// reconcileMachine takes over what a report tells of the machine itself.
func (rc *Reconciler) reconcileMachine(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.Registered && r.Incarnation > m.Incarnation {
		rc.Log.Info("machine began a new session", "machine", m.ID, "session", r.Incarnation, "lost", len(m.Attempts))
		rc.State.MachineEmptied(m, now)
	}
	if !m.Registered {
		rc.Log.Info("machine reports", "machine", m.ID, "type", m.InstanceType, "zone", m.Zone, "spot", m.Spot, "tasks", len(r.Tasks))
	}
	m.Registered = true
	m.Incarnation, m.Sequence = r.Incarnation, r.Sequence
	m.LastHeartbeat = now
	m.Stage = protocol.MachineRunning
	if r.Endpoint != "" {
		m.Endpoint = r.Endpoint
	}
	if r.TerminationNoticed {
		if m.TerminatesAt == 0 {
			rc.Log.Info("machine is to be taken", "machine", m.ID, "in_ms", r.TerminationIn/units.Millisecond)
		}
		m.TerminatesAt = now + r.TerminationIn
	}
}

// dropMissingAttempts drops the attempts that a report, whose tasks were taken over, proves not to
// be on the machine: they were sent with an earlier answer that never arrived, or the
// worker has forgotten them.
func (rc *Reconciler) dropMissingAttempts(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	for _, a := range m.Attempts {
		switch {
		case a.SeenSequence == r.Sequence, a.Stage == cluster.Assigned:
		case a.Stage == cluster.Sent && r.Sequence <= a.SentSequence:
		default:
			rc.Tracer.Trace("attempt is not there", a)
			rc.State.AttemptGone(a, now)
		}
	}
}

// checkDelivery works out from a newer report whether the last answer that commanded
// something reached the machine: all of an answer's commands are carried out,
// or none. A machine that was told nothing shows it by its session: without an
// answer within its lease it would have begun another one.
func (rc *Reconciler) checkDelivery(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.UndeliveredCommands > 0 && r.Incarnation == m.Incarnation && now-m.UndeliveredAt > rc.Detector.WorkerLease() {
		rc.Log.Info("machine hears again", "machine", m.ID)
		m.UndeliveredCommands = 0
	}
	if r.Incarnation != m.Incarnation {
		m.UndeliveredAt = now
	}
	if !m.LastCommand.Pending {
		return
	}
	there, live := false, false
	for i := range r.Tasks {
		if k := &r.Tasks[i]; k.Job == m.LastCommand.Key.Job && k.Index == m.LastCommand.Key.Index && k.Attempt == m.LastCommand.Key.Number {
			there, live = true, k.Stage == protocol.TaskFetching || k.Stage == protocol.TaskRunning
		}
	}
	carriedOut := !there
	switch m.LastCommand.Verb {
	case protocol.VerbStart:
		carriedOut = there
	case protocol.VerbStop:
		carriedOut = !live
	}
	m.LastCommand.Pending = false
	if carriedOut && r.Incarnation == m.Incarnation {
		m.UndeliveredCommands = 0
		return
	}
	m.UndeliveredAt = now
	if m.UndeliveredCommands++; m.UndeliveredCommands == cluster.MaxUndeliveredCommands {
		rc.Log.Info("machine carries nothing out", "machine", m.ID, "task", protocol.TaskName(m.LastCommand.Key.Job, m.LastCommand.Key.Index),
			"attempt", m.LastCommand.Key.Number, "verb", m.LastCommand.Verb)
	}
}

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
			rc.State.Outcomes.ReplicaEnded(a, false, now)
			break
		}
		rc.State.Completions.Freed(j.Spec.Request.CPU)
		rc.State.Outcomes.AttemptCompleted(a, now)
		rc.State.TaskDone(j, key.Index, now)
		if j.Complete() {
			rc.WriteSignal.Raise()
		}
	case protocol.CauseError:
		if j.IsService() {
			rc.State.Outcomes.ReplicaEnded(a, true, now)
		} else {
			rc.State.Outcomes.AttemptFailed(a, now)
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
			m.RecordImage(j)
		}
		if j.IsService() {
			rc.State.Outcomes.ReplicaSteady(a, now)
		}
	case protocol.TaskCheckpointing:
		a.Stage = cluster.Checkpointing
	}
}
