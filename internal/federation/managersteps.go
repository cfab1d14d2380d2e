package federation

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Receive decides on a message from another cell.
func (m *Manager) Receive(ctx context.Context, from string, msg Message) {
	m.Stats.Received.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.permitted(from, &msg); err != nil {
		m.Stats.Rejected.Add(1)
		m.Log.Warn("message of a transfer refused", "from", from, "error", err)
		return
	}
	if m.lost {
		return
	}
	if msg.Kind.toTarget() {
		m.receiveAtTarget(ctx, &msg)
		return
	}
	m.receiveAtOrigin(ctx, from, &msg)
}

// permitted tells whether a cell may say what a message says.
func (m *Manager) permitted(from string, msg *Message) error {
	if err := msg.Check(); err != nil {
		return err
	}
	switch {
	case from == m.Cells.Self || m.Cells.Cell(from) == nil:
		return fmt.Errorf("%w: %q is no other cell", ErrMessage, from)
	case msg.Kind.toTarget() && msg.Transfer.Origin != from:
		return fmt.Errorf("%w: %v speaks for %s", ErrMessage, from, msg.Transfer)
	case !msg.Kind.toTarget() && msg.Transfer.Origin != m.Cells.Self:
		return fmt.Errorf("%w: %s is no transfer of this cell", ErrMessage, msg.Transfer)
	}
	return nil
}

func (m *Manager) receiveAtTarget(ctx context.Context, msg *Message) {
	now := m.Clock.Steady()
	if i := m.in[msg.Transfer]; i != nil {
		if !i.busy {
			m.targetDecided(ctx, i, i.record.Receive(msg, &i.holder, m.Cells.Terms.Lease, now))
		}
		return
	}
	if m.blocked[keyIn(msg.Transfer)] != nil {
		return
	}
	room := msg.Kind == Reserve && m.rooms.Try(msg.Transfer, msg.Work, now)
	d := ReceiveNew(msg, room)
	if !d.Save {
		m.send(msg.Transfer.Origin, d.Send)
		return
	}
	i := &incoming{holder: NewHolder(m.Term)}
	m.in[msg.Transfer] = i
	if m.targetDecided(ctx, i, d); i.version == 0 {
		delete(m.in, msg.Transfer)
		m.rooms.Release(msg.Transfer)
	}
}

func (m *Manager) receiveAtOrigin(ctx context.Context, from string, msg *Message) {
	o := m.out[msg.Transfer.Job]
	switch {
	case o == nil && m.blocked[PrefixOut+msg.Transfer.Job] != nil:
	case o == nil, o.record.Transfer != msg.Transfer:
		m.send(from, ReceiveUnknown(msg))
	case !o.busy && o.record.Target == from:
		m.originDecided(ctx, o, o.record.Receive(msg, &o.grantor, m.Clock.Steady()))
	}
}

// Tick looks at every transfer: what is to be repeated, what has passed its time, and what
// the scheduler has to know. It is called about once a second, by one goroutine.
func (m *Manager) Tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.rooms.Expired(m.Clock.Steady()) {
		if i := m.in[id]; i != nil && !i.busy {
			m.targetDecided(ctx, i, i.record.Expire())
		}
	}
	for _, job := range slices.Sorted(maps.Keys(m.out)) {
		if o := m.out[job]; o != nil && !o.busy && !m.lost {
			m.tickOutgoing(ctx, job, o)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.in), compareTransfers) {
		if i := m.in[id]; i != nil && !i.busy && !m.lost {
			m.tickIncoming(ctx, i)
		}
	}
}

func (m *Manager) tickOutgoing(ctx context.Context, job string, o *outgoing) {
	now := m.Clock.Steady()
	m.originDecided(ctx, o, o.record.Tick(&o.grantor, now, m.Cells.Terms))
	if o.grantor.Silent(now) > takeBackAfter*m.Cells.Terms.Lease {
		m.originDecided(ctx, o, o.record.TakeBack())
	}
	m.originDecided(ctx, o, o.record.Repeat())
	if told := m.tell(job, &o.record); told && o.record.Over() {
		m.removeOutgoing(ctx, job, o)
	}
}

// tell tells the scheduler where a job is now, and whether it knows so durably.
func (m *Manager) tell(job string, r *OriginRecord) bool {
	switch {
	case r.Phase == Finished:
		return m.Scheduler.Finished(job, r.Done)
	case r.Phase == Withdrawn && r.Cause == Cancelled:
		return m.Scheduler.Withdrawn(job)
	case r.Phase == Withdrawn:
		return true
	case r.Phase == Returned:
		return m.Scheduler.Returned(job, r.Done, r.NextReruns())
	}
	return false
}

func (m *Manager) removeOutgoing(ctx context.Context, job string, o *outgoing) {
	if _, ok := m.save(ctx, &o.busy, o.record.Key(), nil, o.version); ok {
		delete(m.out, job)
	}
}

func (m *Manager) tickIncoming(ctx context.Context, i *incoming) {
	now := m.Clock.Steady()
	id := i.record.Transfer
	if i.record.Phase == AcceptedHere {
		m.tickAccepted(ctx, i, now)
	}
	if i.record.Phase != AcceptedHere { // Renew tells as much
		m.targetDecided(ctx, i, i.record.Repeat())
	}
	if now-i.asked >= m.Cells.Terms.Lease/renewShare || i.asked == 0 {
		i.asked = now
		m.targetDecided(ctx, i, i.record.Renew(&i.holder, now))
	}
	if i.record.MayRun(&i.holder, m.Clock.Steady()) {
		m.Scheduler.Run(id, i.record.Job, i.record.Done)
		return
	}
	m.Scheduler.Stop(id)
}

// tickAccepted takes over how far the tasks are.
func (m *Manager) tickAccepted(ctx context.Context, i *incoming, now units.Micros) {
	progress := m.Scheduler.Progress(i.record.Transfer)
	switch {
	case i.record.Stopping && !progress.Present:
		m.targetDecided(ctx, i, i.record.Stopped())
	case progress.Complete && i.record.MayRun(&i.holder, now):
		m.targetDecided(ctx, i, i.record.Complete(progress.Done, true))
	case !i.record.Done.Contains(progress.Done):
		m.targetDecided(ctx, i, i.record.Complete(progress.Done, false))
	}
}

// originDecided carries a decision out: the record is stored, then messages are sent. The
// lock is held, and given up while the record is being stored.
func (m *Manager) originDecided(ctx context.Context, o *outgoing, d OriginDecision) {
	if d.Save {
		version, ok := m.save(ctx, &o.busy, d.Record.Key(), d.Record.Encode(m.saveID()), o.version)
		if !ok {
			return
		}
		if d.Record.Phase != o.record.Phase {
			m.Log.Info("transfer of a job", "transfer", d.Record.Transfer.String(), "target", d.Record.Target,
				"phase", int(d.Record.Phase), "run", d.Record.Run)
		}
		o.record, o.version = d.Record, version
	}
	m.send(d.Record.Target, d.Send)
}

func (m *Manager) targetDecided(ctx context.Context, i *incoming, d TargetDecision) {
	id := d.Record.Transfer
	switch {
	case d.Remove:
		if _, ok := m.save(ctx, &i.busy, d.Record.Key(), nil, i.version); ok {
			delete(m.in, id)
			m.rooms.Release(id)
		}
		return
	case d.Save:
		version, ok := m.save(ctx, &i.busy, d.Record.Key(), d.Record.Encode(m.saveID()), i.version)
		if !ok {
			return
		}
		if d.Record.Phase != i.record.Phase {
			m.Log.Info("transfer of another cell's job", "transfer", id.String(), "phase", int(d.Record.Phase), "run", d.Record.Run)
		}
		i.record, i.version = d.Record, version
		m.keepRoom(&i.record)
	}
	m.send(id.Origin, d.Send)
}

// keepRoom has the reservations follow a record.
func (m *Manager) keepRoom(r *TargetRecord) {
	switch r.Phase {
	case AcceptedHere:
		m.rooms.Commit(r.Transfer)
	case FinishedHere, RefusedHere:
		m.rooms.Release(r.Transfer)
	}
}

func (m *Manager) saveID() string { return fmt.Sprintf("%d-%d", m.Term, m.Stats.Saves.Load()+1) }

// save stores a value, with the lock given up meanwhile.
func (m *Manager) save(ctx context.Context, busy *bool, key string, value []byte, version uint64) (uint64, bool) {
	if m.lost {
		return 0, false
	}
	*busy = true
	m.mu.Unlock()
	m.Stats.Saves.Add(1)
	stored, err := m.Store.Save(ctx, key, value, version)
	m.mu.Lock()
	*busy = false
	if errors.Is(err, ErrConflict) && !m.lost {
		m.lost = true
		m.Log.Error("the record of a transfer was written by another leader", "key", key)
		if m.Lost != nil {
			m.Lost()
		}
	}
	return stored, err == nil
}

func (m *Manager) send(cell string, messages []Message) {
	for _, msg := range messages {
		m.Stats.Sent.Add(1)
		m.Link.Send(cell, msg)
	}
}
