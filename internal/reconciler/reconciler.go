// Package reconciler reconciles the leader's state with the heartbeats of machines, and determines
// the commands that each machine needs.
//
// Reconciler.Reconcile applies a heartbeat to the state: first the delivery of earlier commands
// (delivery.go), then the machine itself, then each of its tasks (tasks.go). Reconciler.Commands
// returns the commands for the response to the heartbeat (commands.go).
package reconciler

import (
	"log/slog"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Deps holds the dependencies of a Reconciler.
type Deps struct {
	State    *cluster.State
	Detector *failuredetector.Detector
	Log      *slog.Logger
	Tracer   cluster.AttemptTracer
	Metrics  *telemetry.Reconciliation
	// Token is the leader's fencing token. Only a heartbeat that shows it reconciles a
	// machine, and starts are sent only to machines that have shown it.
	Token       uint64
	WriteSignal loop.Signal // wakes the persister
	CycleSignal loop.Signal // wakes the scheduler
}

// Reconciler applies heartbeats to the state and determines the commands that machines need.
// It has no state of its own. Callers of its methods must hold the lock of State. Create it with
// New.
type Reconciler struct {
	Deps
}

// New returns a reconciler with the given dependencies.
func New(deps Deps) *Reconciler {
	return &Reconciler{
		Deps: deps,
	}
}

// Reconcile applies a heartbeat to the state and returns the machine that sent it. A heartbeat that
// is not newer than the last applied one, or that comes from a released machine, has no effect;
// Reconcile then returns nil.
func (rc *Reconciler) Reconcile(heartbeat *protocol.Heartbeat, now units.Micros) *cluster.Machine {
	if rc.State.Released.Has(heartbeat.Machine) {
		rc.recordIgnoredHeartbeat(heartbeat, nil)
		return nil
	}
	m := rc.State.EnsureMachine(heartbeat.Machine, heartbeat.InstanceType, heartbeat.Zone, heartbeat.Spot, now)
	if m.Registered && !isNewer(heartbeat, m) {
		rc.recordIgnoredHeartbeat(heartbeat, m)
		return nil
	}
	if heartbeat.FencingToken != rc.Token {
		rc.Metrics.OtherTokens.Inc()
	}
	rc.checkDelivery(m, heartbeat, now)
	rc.reconcileMachine(m, heartbeat, now)
	rc.reconcileTasks(m, heartbeat, now)
	// Only a heartbeat that shows this leader's token was sent after the machine received a
	// response of this leader. Any other heartbeat may be a delayed duplicate from a machine
	// that no longer exists, or a response of a former leader may still reach the machine.
	if m.FencingToken != heartbeat.FencingToken && heartbeat.FencingToken == rc.Token {
		rc.logMachineReconciled(m, rc.State.Unreconciled.Resolve(m.ID), now)
		rc.CycleSignal.Raise()
	}
	m.FencingToken = heartbeat.FencingToken
	if heartbeat.FencingToken == rc.Token {
		rc.State.Expired.Resolve(m.ID)
	}
	return m
}

// isNewer reports whether a heartbeat was sent after the last applied heartbeat of its machine. A machine
// that was restarted begins anew with its incarnation, its sequence and the fencing token that it shows.
// The heartbeats of one start of a machine never show a lower token than earlier ones, so the token is
// decisive: a heartbeat with a higher token comes from a later start or later in the same one, and one
// with a lower token from an earlier start, or from a later one that has not shown a token yet.
func isNewer(heartbeat *protocol.Heartbeat, m *cluster.Machine) bool {
	if heartbeat.FencingToken != m.FencingToken {
		return heartbeat.FencingToken > m.FencingToken
	}
	return hasLaterSequence(heartbeat, m)
}

// beganAnew reports whether a machine has dropped all tasks since its last applied heartbeat: it began a
// new incarnation or was restarted. heartbeat must be newer than the last applied one.
func beganAnew(heartbeat *protocol.Heartbeat, m *cluster.Machine) bool {
	return heartbeat.Incarnation != m.Incarnation || heartbeat.Sequence < m.Sequence
}

// MissesToken reports whether a heartbeat shows a lower fencing token than its machine has shown before,
// and no task that has not ended. It may be a late copy, or the machine was restarted and needs a
// response in order to show the token.
func (rc *Reconciler) MissesToken(heartbeat *protocol.Heartbeat) bool {
	m := rc.State.Machines[heartbeat.Machine]
	return m != nil && m.Registered && heartbeat.FencingToken < m.FencingToken && !showsLiveTask(heartbeat)
}

// showsLiveTask reports whether a heartbeat shows a task that has not ended.
func showsLiveTask(heartbeat *protocol.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task protocol.TaskStatus) bool { return task.Stage != protocol.TaskExited })
}

// hasLaterSequence reports whether a heartbeat has a later incarnation or sequence number than the last
// applied heartbeat of its machine.
func hasLaterSequence(heartbeat *protocol.Heartbeat, m *cluster.Machine) bool {
	return heartbeat.Incarnation > m.Incarnation ||
		heartbeat.Incarnation == m.Incarnation && heartbeat.Sequence > m.Sequence
}

// reconcileMachine applies the part of a heartbeat that is about the machine itself.
func (rc *Reconciler) reconcileMachine(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	if m.Registered && beganAnew(heartbeat, m) {
		rc.Log.Info("machine started a new agent incarnation", "machine", m.ID, "incarnation", heartbeat.Incarnation, "lost", len(m.Attempts))
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
			rc.Log.Info("machine received a termination notice", "machine", m.ID, "in_ms", heartbeat.TerminationIn/units.Millisecond)
		}
		m.TerminatesAt = now + heartbeat.TerminationIn
	}
}

// reconcileTasks applies the task statuses of a heartbeat, and drops the attempts that the
// heartbeat proves not to be on the machine.
func (rc *Reconciler) reconcileTasks(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	var duplicates duplicateAttempts
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.Stage == protocol.TaskExited {
			rc.applyExitedTask(m, task, now)
		} else if adopted := rc.applyLiveTask(m, task, now); adopted != nil && adopted.HasDuplicate() {
			duplicates.add(adopted)
		}
	}
	rc.logDuplicateAttempts(duplicates, heartbeat)
	rc.dropMissingAttempts(m, heartbeat, now)
}

// dropMissingAttempts drops the attempts that the heartbeat does not list and should: their start
// was sent in a response to an earlier heartbeat and did not arrive, or the worker has forgotten
// them. The task statuses of the heartbeat must have been applied before.
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
