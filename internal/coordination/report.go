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
func (t *Term) Report(ctx context.Context, r *protocol.Report, slot *reportSlot) (protocol.ReportAnswer, bool) {
	answer := protocol.ReportAnswer{Term: t.number, Commands: []protocol.Command{}}
	if !t.waitRestored(ctx, slot) {
		return answer, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	if !t.Lease.Valid(t.number) || r.Term > t.number {
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
		if m.Session != r.Session || m.Seq != r.Seq || !t.Lease.Valid(t.number) {
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
		t.Log.Debug(what, "task", a.Task(), "attempt", a.Number, "machine", a.Machine.ID)
	}
}

func newer(r *protocol.Report, session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// observe works out the difference between what a machine reports and what
// the ledger says of it. Old reports, and those of machines that were
// released, have no effect and give nil.
func (t *Term) observe(r *protocol.Report, now units.Micros) *cluster.Machine {
	if t.released.has(r.Machine) {
		return nil
	}
	m := t.ledger.Machine(r.Machine, r.Type, r.Zone, r.Spot, now)
	if m.Seen && !newer(r, m.Session, m.Seq) {
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
	if m.Term != r.Term && r.Term == t.number {
		t.ledger.Confirm(m.ID)
		signal(t.roundSignal)
	}
	m.Term, m.HungCancelled = r.Term, false
	return m
}

// observeMachine takes over what a report tells of the machine itself.
func (t *Term) observeMachine(m *cluster.Machine, r *protocol.Report, now units.Micros) {
	if m.Seen && r.Session > m.Session {
		t.Log.Info("machine began a new session", "machine", m.ID, "session", r.Session, "lost", len(m.Attempts))
		t.ledger.Emptied(m, now)
	}
	if !m.Seen {
		t.Log.Info("machine reports", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "tasks", len(r.Tasks))
	}
	m.Seen = true
	m.Session, m.Seq = r.Session, r.Seq
	m.LastAnswered = now
	m.Stage = protocol.MachineRunning
	if r.Endpoint != "" {
		m.Endpoint = r.Endpoint
	}
	if r.Noticed {
		if m.NoticeEnds == 0 {
			t.Log.Info("machine is to be taken", "machine", m.ID, "in_ms", r.Notice/units.Millisecond)
		}
		m.NoticeEnds = now + r.Notice
	}
}

// dropMissing drops the attempts that a report, whose tasks were taken over, proves not to
// be on the machine: they were sent with an earlier answer that never arrived, or the
// worker has forgotten them.
func (t *Term) dropMissing(m *cluster.Machine, r *protocol.Report, now units.Micros) {
	for _, a := range m.Attempts {
		switch {
		case a.SeenSeq == r.Seq, a.Stage == cluster.Assigned:
		case a.Stage == cluster.Sent && r.Seq <= a.SentSeq:
		default:
			t.trace("attempt is not there", a)
			t.ledger.Gone(a, now)
		}
	}
}

// checkDelivery works out from a newer report whether the last answer that commanded
// something reached the machine: all of an answer's commands are carried out,
// or none. A machine that was told nothing shows it by its session: without an
// answer within its lease it would have begun another one.
func (t *Term) checkDelivery(m *cluster.Machine, r *protocol.Report, now units.Micros) {
	if m.Undelivered > 0 && r.Session == m.Session && now-m.UndeliveredAt > t.workerLease() {
		t.Log.Info("machine hears again", "machine", m.ID)
		m.Undelivered = 0
	}
	if r.Session != m.Session {
		m.UndeliveredAt = now
	}
	if !m.LastCommand.Given {
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
	case protocol.Start:
		carriedOut = there
	case protocol.Stop:
		carriedOut = !live
	}
	m.LastCommand.Given = false
	if carriedOut && r.Session == m.Session {
		m.Undelivered = 0
		return
	}
	m.UndeliveredAt = now
	if m.Undelivered++; m.Undelivered == maxUndelivered {
		t.Log.Info("machine carries nothing out", "machine", m.ID, "task", protocol.TaskName(m.LastCommand.Key.Job, m.LastCommand.Key.Index),
			"attempt", m.LastCommand.Key.Number, "verb", m.LastCommand.Verb)
	}
}

// maxUndelivered is how many answers in a row may have no effect on a machine until
// no answer is taken to reach it: it reports, but commands do not reach it. It then gets no
// work and is returned as one that is silent would be.
const maxUndelivered = 2

func (t *Term) exited(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskReport, now units.Micros) {
	j, a := t.ledger.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j != nil && task.Cause == protocol.CauseDone && key.Index < j.Spec.Tasks && !j.IsDone(key.Index) {
			t.ledger.Done(j, key.Index, now)
			if other := j.Live[key.Index]; other != nil {
				t.ledger.Stop(other, 0)
			}
		}
		return
	}
	// The job may have ended and left the ledger while an attempt of a task
	// that was done elsewhere was still on its way out.
	j = a.Job
	if t.traces {
		t.Log.Debug("task ended", "task", a.Task(), "attempt", a.Number, "machine", m.ID, "cause", task.Cause, "saved", task.Saved)
	}
	switch task.Cause {
	case protocol.CauseDone:
		if j.Service() {
			t.ledger.Ended(a, false, now)
			break
		}
		t.completions.freed += j.Spec.Need.CPU
		t.ledger.Completed(a, now)
		t.ledger.Done(j, key.Index, now)
		if j.Complete() {
			signal(t.saveSignal)
		}
	case protocol.CauseError:
		if j.Service() {
			t.ledger.Ended(a, true, now)
		} else {
			t.ledger.Failed(a, now)
		}
		if m.SetAside {
			t.Log.Info("machine set aside as faulty", "machine", m.ID, "task", a.Task())
		}
	case protocol.CauseNoRoom:
		m.BlockedUntil = now + noRoomPause
	case protocol.CauseUnknown, protocol.CauseBusy:
		j.RetryAt = now + units.Second
	}
	t.ledger.Gone(a, now)
	if j.Cancelled && len(j.Live) == 0 {
		j.Changed(now, true)
		signal(t.saveSignal)
	}
}

func (t *Term) alive(m *cluster.Machine, key cluster.AttemptKey, task *protocol.TaskReport, now units.Micros) {
	j, a := t.ledger.Jobs[key.Job], m.Attempts[key]
	if a == nil {
		if j == nil || key.Index >= j.Spec.Tasks || j.IsDone(key.Index) || j.Live[key.Index] != nil {
			return // commands will stop it
		}
		a = t.ledger.Adopt(j, key.Index, key.Number, m, now)
		t.trace("attempt adopted", a)
	}
	j = a.Job
	a.SeenSeq = m.Seq
	switch task.Stage {
	case protocol.TaskFetching:
		a.Stage = cluster.Fetching
	case protocol.TaskRunning:
		if a.Stage != cluster.Running {
			a.Stage, a.RunningSince = cluster.Running, now
			j.Begun = true
			t.trace("task runs", a)
			t.ledger.HoldsImage(m, j)
		}
		if j.Service() {
			t.ledger.Steady(a, now)
		}
	case protocol.TaskSaving:
		a.Stage = cluster.Saving
	}
}
