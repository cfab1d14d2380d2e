package coordination

import (
	"context"
	"log/slog"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Reconciler compares what machines say in their heartbeats with the state, corrects the
// state, and works out the commands that a machine still needs. Its methods need the lock
// of state held.
type Reconciler struct {
	state       *cluster.State
	detector    *Detector
	log         *slog.Logger
	tracer      cluster.AttemptTracer
	token       uint64
	writeSignal chan struct{}
	cycleSignal chan struct{}
}

func newReconciler(l *Leader, tracer cluster.AttemptTracer) *Reconciler {
	return &Reconciler{
		state:       l.state,
		detector:    l.detector,
		log:         l.Log,
		tracer:      tracer,
		token:       l.token,
		writeSignal: l.writeSignal,
		cycleSignal: l.cycleSignal,
	}
}

const (
	minStartDurableWait = 150 * units.Millisecond
	maxStartDurableWait = 500 * units.Millisecond
	// noCapacityPause is how long a machine that refused a start for want of room gets none.
	noCapacityPause = 2 * units.Second
)

// durableWait is how long an answer to a report waits for the save that must
// come before the starts it is to carry: else they go with the next report, so
// where reports come seldom it waits longer.
func (l *Leader) durableWait() units.Micros {
	return min(max(l.Settings.Fleet.Workers.Report()/10, minStartDurableWait), maxStartDurableWait)
}

// restoreWait is how long a report waits for the restore of the records: mostly
// it is done sooner, and the worker would only come back to this node.
const restoreWait = 2 * units.Second

// waitRestored waits until the records are restored, and tells whether they are.
func (l *Leader) waitRestored(ctx context.Context, slot *heartbeatSlot) bool {
	select {
	case <-l.persister.restored:
		return true
	default:
	}
	slot.release()
	timer := time.NewTimer(restoreWait.Duration())
	defer timer.Stop()
	select {
	case <-l.persister.restored:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// Heartbeat takes in a worker's report and gives the commands for it. It is not
// accepted (false) when this node may not command, or the report is an old
// one. It releases the slot before it waits for anything.
//
// An answer prolongs the worker's lease, and with it whatever runs there. So none
// is given before the records are restored: this node might not know yet of a
// cancellation that a former leader's user was told of.
func (l *Leader) Heartbeat(ctx context.Context, r *protocol.Heartbeat, slot *heartbeatSlot) (protocol.HeartbeatResponse, bool) {
	answer := protocol.HeartbeatResponse{FencingToken: l.token, Commands: []protocol.Command{}}
	if !l.waitRestored(ctx, slot) {
		return answer, false
	}
	l.state.Lock()
	defer l.state.Unlock()
	now := l.Clock.Steady()
	if !l.leadership.Valid() || r.FencingToken > l.token {
		return answer, false
	}
	m := l.reconciler.reconcile(r, now)
	if m == nil {
		return answer, false
	}
	if l.scheduler.cycleDue(now) {
		l.scheduler.runCycle(now, m)
	} else {
		l.scheduler.placeOnMachine(m, now)
	}
	if wait := l.reconciler.unwrittenStart(m); wait != nil {
		raise(l.writeSignal)
		l.state.Unlock()
		slot.release()
		select {
		case <-wait:
		case <-ctx.Done():
		case <-time.After(l.durableWait().Duration()):
		}
		l.state.Lock()
		if m.Incarnation != r.Incarnation || m.Sequence != r.Sequence || !l.leadership.Valid() {
			return answer, false
		}
	}
	answer.Commands = l.reconciler.commands(m, r, now)
	return answer, true
}

func isNewer(r *protocol.Heartbeat, session, seq uint64) bool {
	return r.Incarnation > session || r.Incarnation == session && r.Sequence > seq
}

// reconcile works out the difference between what a machine reports and what
// the ledger says of it. Old reports, and those of machines that were
// released, have no effect and give nil.
func (rc *Reconciler) reconcile(r *protocol.Heartbeat, now units.Micros) *cluster.Machine {
	if rc.state.Released.Has(r.Machine) {
		return nil
	}
	m := rc.state.EnsureMachine(r.Machine, r.InstanceType, r.Zone, r.Spot, now)
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
	if m.FencingToken != r.FencingToken && r.FencingToken == rc.token {
		rc.state.MarkReconciled(m.ID)
		raise(rc.cycleSignal)
	}
	m.FencingToken, m.MayHoldCancelled = r.FencingToken, false
	return m
}

// reconcileMachine takes over what a report tells of the machine itself.
func (rc *Reconciler) reconcileMachine(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.Registered && r.Incarnation > m.Incarnation {
		rc.log.Info("machine began a new session", "machine", m.ID, "session", r.Incarnation, "lost", len(m.Attempts))
		rc.state.MachineEmptied(m, now)
	}
	if !m.Registered {
		rc.log.Info("machine reports", "machine", m.ID, "type", m.InstanceType, "zone", m.Zone, "spot", m.Spot, "tasks", len(r.Tasks))
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
			rc.log.Info("machine is to be taken", "machine", m.ID, "in_ms", r.TerminationIn/units.Millisecond)
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
			rc.tracer.Trace("attempt is not there", a)
			rc.state.AttemptGone(a, now)
		}
	}
}

// checkDelivery works out from a newer report whether the last answer that commanded
// something reached the machine: all of an answer's commands are carried out,
// or none. A machine that was told nothing shows it by its session: without an
// answer within its lease it would have begun another one.
func (rc *Reconciler) checkDelivery(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.UndeliveredCommands > 0 && r.Incarnation == m.Incarnation && now-m.UndeliveredAt > rc.detector.workerLease() {
		rc.log.Info("machine hears again", "machine", m.ID)
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
	switch protocol.Verb(m.LastCommand.Verb) {
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
	if m.UndeliveredCommands++; m.UndeliveredCommands == maxUndeliveredCommands {
		rc.log.Info("machine carries nothing out", "machine", m.ID, "task", protocol.TaskName(m.LastCommand.Key.Job, m.LastCommand.Key.Index),
			"attempt", m.LastCommand.Key.Number, "verb", m.LastCommand.Verb)
	}
}

// maxUndeliveredCommands is how many answers in a row may have no effect on a machine until
// no answer is taken to reach it: it reports, but commands do not reach it. It then gets no
// work and is returned as one that is silent would be.
const maxUndeliveredCommands = 2

func (rc *Reconciler) taskExited(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := rc.state.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j != nil && task.Cause == protocol.CauseDone && key.Index < j.Spec.Tasks && !j.IsDone(key.Index) {
			rc.state.TaskDone(j, key.Index, now)
			if other := j.LiveAttempts[key.Index]; other != nil {
				rc.state.StopAttempt(other, 0)
			}
		}
		return
	}
	// The job may have ended and left the ledger while an attempt of a task
	// that was done elsewhere was still on its way out.
	j = a.Job
	if rc.tracer.Enabled() {
		rc.log.Debug("task ended", "task", a.TaskName(), "attempt", a.Number, "machine", m.ID, "cause", task.Cause, "saved", task.Checkpointed)
	}
	switch task.Cause {
	case protocol.CauseDone:
		if j.IsService() {
			rc.state.ReplicaEnded(a, false, now)
			break
		}
		rc.state.Completions.Freed(j.Spec.Request.CPU)
		rc.state.AttemptCompleted(a, now)
		rc.state.TaskDone(j, key.Index, now)
		if j.Complete() {
			raise(rc.writeSignal)
		}
	case protocol.CauseError:
		if j.IsService() {
			rc.state.ReplicaEnded(a, true, now)
		} else {
			rc.state.AttemptFailed(a, now)
		}
		if m.Quarantined {
			rc.log.Info("machine set aside as faulty", "machine", m.ID, "task", a.TaskName())
		}
	case protocol.CauseNoCapacity:
		m.BlockedUntil = now + noCapacityPause
	case protocol.CauseNoSuchTask, protocol.CauseInUse:
		j.RetryAt = now + units.Second
	}
	rc.state.AttemptGone(a, now)
	if j.Cancelled && len(j.LiveAttempts) == 0 {
		j.MarkChanged(now, true)
		raise(rc.writeSignal)
	}
}

func (rc *Reconciler) taskAlive(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := rc.state.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j == nil || key.Index >= j.Spec.Tasks || j.IsDone(key.Index) || j.LiveAttempts[key.Index] != nil {
			return // commands will stop it
		}
		a = rc.state.Adopt(j, key.Index, key.Number, m, now)
		rc.tracer.Trace("attempt adopted", a)
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
			rc.tracer.Trace("task runs", a)
			rc.state.RecordImage(m, j)
		}
		if j.IsService() {
			rc.state.ReplicaSteady(a, now)
		}
	case protocol.TaskCheckpointing:
		a.Stage = cluster.Checkpointing
	}
}
