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
		rc.State.MarkReconciled(m.ID)
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
