// Package reconciler compares machines' heartbeats with the leader's state, corrects the
// state, and works out the commands that each machine needs.
//
// Reconcile reads a heartbeat: first what it says of the commands sent before (delivery.go),
// then of the machine, then of each task (tasks.go). Commands answers it (commands.go).
package reconciler

import (
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Deps is what a Reconciler works with.
type Deps struct {
	State    *cluster.State
	Detector *failuredetector.Detector
	Log      *slog.Logger
	Tracer   cluster.AttemptTracer
	Metrics  *telemetry.Reconciliation
	// Token is the leader's fencing token. Only a heartbeat that shows it reconciles a
	// machine, and only a machine that has shown it is sent starts.
	Token       uint64
	WriteSignal loop.Signal // wakes the persister
	CycleSignal loop.Signal // wakes the scheduler
}

// Reconciler compares what machines say in their heartbeats with the state, corrects the
// state, and works out the commands that a machine still needs. It has no state of its own;
// its methods need the lock of State held. Make it with New.
type Reconciler struct {
	Deps
}

// New returns a reconciler.
func New(deps Deps) *Reconciler {
	return &Reconciler{
		Deps: deps,
	}
}

// Reconcile applies a heartbeat to the state and returns its machine. Old heartbeats, and
// those of machines that were released, have no effect; it returns nil for them.
func (rc *Reconciler) Reconcile(heartbeat *protocol.Heartbeat, now units.Micros) *cluster.Machine {
	if rc.State.Released.Has(heartbeat.Machine) {
		rc.heartbeatIgnored(heartbeat, nil)
		return nil
	}
	m := rc.State.EnsureMachine(heartbeat.Machine, heartbeat.InstanceType, heartbeat.Zone, heartbeat.Spot, now)
	if m.Registered && !isNewer(heartbeat, m) {
		rc.heartbeatIgnored(heartbeat, m)
		return nil
	}
	if heartbeat.FencingToken != rc.Token {
		rc.Metrics.OtherTokens.Inc()
	}
	rc.checkDelivery(m, heartbeat, now)
	rc.reconcileMachine(m, heartbeat, now)
	rc.reconcileTasks(m, heartbeat, now)
	// Only a heartbeat that shows our token was sent after a response of ours was
	// received. Any other may be a copy that comes late, of a machine that is
	// gone by now, and a response of a former leader may still be on its way.
	if m.FencingToken != heartbeat.FencingToken && heartbeat.FencingToken == rc.Token {
		rc.machineReconciled(m, rc.State.Unreconciled.Resolve(m.ID), now)
		rc.CycleSignal.Raise()
	}
	m.FencingToken, m.MayHoldCancelled = heartbeat.FencingToken, false
	return m
}

// isNewer reports whether a heartbeat was sent after the last one of its machine that was
// applied.
func isNewer(heartbeat *protocol.Heartbeat, m *cluster.Machine) bool {
	return heartbeat.Incarnation > m.Incarnation ||
		heartbeat.Incarnation == m.Incarnation && heartbeat.Sequence > m.Sequence
}

// reconcileMachine applies what a heartbeat says of the machine itself.
func (rc *Reconciler) reconcileMachine(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	if m.Registered && heartbeat.Incarnation > m.Incarnation {
		rc.Log.Info("machine began a new incarnation", "machine", m.ID, "incarnation", heartbeat.Incarnation, "lost", len(m.Attempts))
		rc.State.RemoveAttempts(m, now)
	}
	if !m.Registered {
		rc.Log.Info("machine registered", "machine", m.ID, "type", m.InstanceType, "zone", m.Zone, "spot", m.Spot, "tasks", len(heartbeat.Tasks),
			"incarnation", heartbeat.Incarnation, "sequence", heartbeat.Sequence, "shows_token", heartbeat.FencingToken)
	}
	m.Registered = true
	m.Incarnation, m.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	m.LastHeartbeat = now
	m.Stage = protocol.MachineRunning
	if heartbeat.Endpoint != "" {
		m.Endpoint = heartbeat.Endpoint
	}
	if heartbeat.TerminationNoticed {
		if m.TerminatesAt == 0 {
			rc.Log.Info("termination notice", "machine", m.ID, "in_ms", heartbeat.TerminationIn/units.Millisecond)
		}
		m.TerminatesAt = now + heartbeat.TerminationIn
	}
}

// reconcileTasks applies what a heartbeat says of the machine's tasks, and drops the attempts
// that it proves not to be there.
func (rc *Reconciler) reconcileTasks(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	var found rivals
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.Stage == protocol.TaskExited {
			rc.taskExited(m, task, now)
		} else if adopted := rc.taskLive(m, task, now); adopted != nil && adopted.HasRival() {
			found.add(adopted)
		}
	}
	rc.logRivals(found, heartbeat)
	rc.dropMissingAttempts(m, heartbeat, now)
}

// dropMissingAttempts drops the attempts that a heartbeat, whose tasks were applied, proves not
// to be on the machine: they were sent with an earlier response that never arrived, or the
// worker has forgotten them.
func (rc *Reconciler) dropMissingAttempts(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	for _, attempt := range m.Attempts {
		switch {
		case attempt.SeenSequence == heartbeat.Sequence, attempt.Stage == cluster.Assigned:
		case attempt.Stage == cluster.Sent && heartbeat.Sequence <= attempt.SentSequence:
		default:
			rc.Tracer.Trace("attempt missing", attempt)
			rc.State.RemoveAttempt(attempt, now)
		}
	}
}
