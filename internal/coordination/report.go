package coordination

import (
	"context"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	minDurableWait = 150 * units.Millisecond
	maxDurableWait = 500 * units.Millisecond
	// noRoomPause is how long a machine that refused a start for want of room gets none.
	noRoomPause = 2 * units.Second
)

// durableWait is how long an answer to a report waits for the save that must
// come before the starts it is to carry: else they go with the next report, so
// where reports come seldom it waits longer.
func (t *Term) durableWait() units.Micros {
	return min(max(t.Settings.Fleet.Workers.Report()/10, minDurableWait), maxDurableWait)
}

// restoreWait is how long a report waits for the restore of the records: mostly
// it is done sooner, and the worker would only come back to this node.
const restoreWait = 2 * units.Second

// waitRestored waits until the records are restored, and tells whether they are.
func (t *Term) waitRestored(ctx context.Context, slot *reportSlot) bool {
	select {
	case <-t.restored:
		return true
	default:
	}
	slot.release()
	timer := time.NewTimer(restoreWait.Duration())
	defer timer.Stop()
	select {
	case <-t.restored:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// Report takes in a worker's report and gives the commands for it. It is not
// accepted (false) when this node may not command, or the report is an old
// one. It releases the slot before it waits for anything.
//
// An answer prolongs the worker's lease, and with it whatever runs there. So none
// is given before the records are restored: this node might not know yet of a
// cancellation that a former leader's user was told of.
func (t *Term) Report(ctx context.Context, r *protocol.Heartbeat, slot *reportSlot) (protocol.HeartbeatResponse, bool) {
	answer := protocol.HeartbeatResponse{FencingToken: t.number, Commands: []protocol.Command{}}
	if !t.waitRestored(ctx, slot) {
		return answer, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	if !t.Lease.Valid(t.number) || r.FencingToken > t.number {
		return answer, false
	}
	m := t.observe(r, now)
	if m == nil {
		return answer, false
	}
	if t.roundDue(now) {
		t.round(now, m)
	} else {
		t.fill(m, now)
	}
	if wait := t.undurable(m); wait != nil {
		signal(t.saveSignal)
		t.mu.Unlock()
		slot.release()
		select {
		case <-wait:
		case <-ctx.Done():
		case <-time.After(t.durableWait().Duration()):
		}
		t.mu.Lock()
		if m.Incarnation != r.Incarnation || m.Sequence != r.Sequence || !t.Lease.Valid(t.number) {
			return answer, false
		}
	}
	answer.Commands = t.commands(m, r, now)
	return answer, true
}

// trace logs a step of an attempt. There are hundreds a second in a large fleet, so
// nothing is made up for a line that is dropped.
func (t *Term) trace(what string, a *cluster.Attempt) {
	if t.traces {
		t.Log.Debug(what, "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID)
	}
}

func newer(r *protocol.Heartbeat, session, seq uint64) bool {
	return r.Incarnation > session || r.Incarnation == session && r.Sequence > seq
}

// observe works out the difference between what a machine reports and what
// the ledger says of it. Old reports, and those of machines that were
// released, have no effect and give nil.
func (t *Term) observe(r *protocol.Heartbeat, now units.Micros) *cluster.Machine {
	if t.released.has(r.Machine) {
		return nil
	}
	m := t.ledger.EnsureMachine(r.Machine, r.InstanceType, r.Zone, r.Spot, now)
	if m.Registered && !newer(r, m.Incarnation, m.Sequence) {
		return nil
	}
	t.checkDelivery(m, r, now)
	t.observeMachine(m, r, now)
	for i := range r.Tasks {
		task := &r.Tasks[i]
		key := cluster.AttemptKey{Job: task.Job, Index: task.Index, Number: task.Attempt}
		if task.Stage == protocol.TaskExited {
			t.exited(m, key, task, now)
		} else {
			t.alive(m, key, task, now)
		}
	}
	t.dropMissing(m, r, now)
	// Only a report that shows our term was sent after an answer of ours was
	// received. Any other may be a copy that comes late, of a machine that is
	// gone by now, and an answer of a former leader may still be on its way.
	if m.FencingToken != r.FencingToken && r.FencingToken == t.number {
		t.ledger.MarkReconciled(m.ID)
		signal(t.roundSignal)
	}
	m.FencingToken, m.MayHoldCancelled = r.FencingToken, false
	return m
}

// observeMachine takes over what a report tells of the machine itself.
func (t *Term) observeMachine(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.Registered && r.Incarnation > m.Incarnation {
		t.Log.Info("machine began a new session", "machine", m.ID, "session", r.Incarnation, "lost", len(m.Attempts))
		t.ledger.MachineEmptied(m, now)
	}
	if !m.Registered {
		t.Log.Info("machine reports", "machine", m.ID, "type", m.InstanceType, "zone", m.Zone, "spot", m.Spot, "tasks", len(r.Tasks))
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
			t.Log.Info("machine is to be taken", "machine", m.ID, "in_ms", r.TerminationIn/units.Millisecond)
		}
		m.TerminatesAt = now + r.TerminationIn
	}
}

// dropMissing drops the attempts that a report, whose tasks were taken over, proves not to
// be on the machine: they were sent with an earlier answer that never arrived, or the
// worker has forgotten them.
func (t *Term) dropMissing(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	for _, a := range m.Attempts {
		switch {
		case a.SeenSequence == r.Sequence, a.Stage == cluster.Assigned:
		case a.Stage == cluster.Sent && r.Sequence <= a.SentSequence:
		default:
			t.trace("attempt is not there", a)
			t.ledger.AttemptGone(a, now)
		}
	}
}

// checkDelivery works out from a newer report whether the last answer that commanded
// something reached the machine: all of an answer's commands are carried out,
// or none. A machine that was told nothing shows it by its session: without an
// answer within its lease it would have begun another one.
func (t *Term) checkDelivery(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.UndeliveredCommands > 0 && r.Incarnation == m.Incarnation && now-m.UndeliveredAt > t.workerLease() {
		t.Log.Info("machine hears again", "machine", m.ID)
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
	if m.UndeliveredCommands++; m.UndeliveredCommands == maxUndelivered {
		t.Log.Info("machine carries nothing out", "machine", m.ID, "task", protocol.TaskName(m.LastCommand.Key.Job, m.LastCommand.Key.Index),
			"attempt", m.LastCommand.Key.Number, "verb", m.LastCommand.Verb)
	}
}

// maxUndelivered is how many answers in a row may have no effect on a machine until
// no answer is taken to reach it: it reports, but commands do not reach it. It then gets no
// work and is returned as one that is silent would be.
const maxUndelivered = 2

func (t *Term) exited(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := t.ledger.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j != nil && task.Cause == protocol.CauseDone && key.Index < j.Spec.Tasks && !j.IsDone(key.Index) {
			t.ledger.TaskDone(j, key.Index, now)
			if other := j.LiveAttempts[key.Index]; other != nil {
				t.ledger.StopAttempt(other, 0)
			}
		}
		return
	}
	// The job may have ended and left the ledger while an attempt of a task
	// that was done elsewhere was still on its way out.
	j = a.Job
	if t.traces {
		t.Log.Debug("task ended", "task", a.TaskName(), "attempt", a.Number, "machine", m.ID, "cause", task.Cause, "saved", task.Checkpointed)
	}
	switch task.Cause {
	case protocol.CauseDone:
		if j.IsService() {
			t.ledger.ReplicaEnded(a, false, now)
			break
		}
		t.completions.freed += j.Spec.Request.CPU
		t.ledger.AttemptCompleted(a, now)
		t.ledger.TaskDone(j, key.Index, now)
		if j.Complete() {
			signal(t.saveSignal)
		}
	case protocol.CauseError:
		if j.IsService() {
			t.ledger.ReplicaEnded(a, true, now)
		} else {
			t.ledger.AttemptFailed(a, now)
		}
		if m.Quarantined {
			t.Log.Info("machine set aside as faulty", "machine", m.ID, "task", a.TaskName())
		}
	case protocol.CauseNoCapacity:
		m.BlockedUntil = now + noRoomPause
	case protocol.CauseNoSuchTask, protocol.CauseInUse:
		j.RetryAt = now + units.Second
	}
	t.ledger.AttemptGone(a, now)
	if j.Cancelled && len(j.LiveAttempts) == 0 {
		j.MarkChanged(now, true)
		signal(t.saveSignal)
	}
}

func (t *Term) alive(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskStatus, now units.Micros) {
	j, a := t.ledger.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j == nil || key.Index >= j.Spec.Tasks || j.IsDone(key.Index) || j.LiveAttempts[key.Index] != nil {
			return // commands will stop it
		}
		a = t.ledger.Adopt(j, key.Index, key.Number, m, now)
		t.trace("attempt adopted", a)
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
			t.trace("task runs", a)
			t.ledger.RecordImage(m, j)
		}
		if j.IsService() {
			t.ledger.ReplicaSteady(a, now)
		}
	case protocol.TaskCheckpointing:
		a.Stage = cluster.Checkpointing
	}
}
