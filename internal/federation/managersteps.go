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
	if err := m.checkSender(from, &msg); err != nil {
		m.Stats.Rejected.Add(1)
		m.Log.Warn("message of a transfer refused", "from", from, "error", err)
		return
	}
	if m.superseded {
		return
	}
	if msg.Kind.toTarget() {
		m.receiveAtTarget(ctx, &msg)
		return
	}
	m.receiveAtOrigin(ctx, from, &msg)
}

// checkSender tells whether a cell may say what a message says.
func (m *Manager) checkSender(from string, msg *Message) error {
	if err := msg.Check(); err != nil {
		return err
	}
	switch {
	case from == m.Config.Self || m.Config.Cell(from) == nil:
		return fmt.Errorf("%w: %q is no other cell", ErrMalformedMessage, from)
	case msg.Kind.toTarget() && msg.Transfer.Origin != from:
		return fmt.Errorf("%w: %v speaks for %s", ErrMalformedMessage, from, msg.Transfer)
	case !msg.Kind.toTarget() && msg.Transfer.Origin != m.Config.Self:
		return fmt.Errorf("%w: %s is no transfer of this cell", ErrMalformedMessage, msg.Transfer)
	}
	return nil
}

func (m *Manager) receiveAtTarget(ctx context.Context, msg *Message) {
	now := m.Clock.Steady()
	if i := m.incoming[msg.Transfer]; i != nil {
		if !i.writing {
			m.applyTarget(ctx, i, i.record.Receive(msg, &i.holder, m.Config.Timing.Lease, now))
		}
		return
	}
	if m.unreadable[incomingKey(msg.Transfer)] != nil {
		return
	}
	room := msg.Kind == MessageReserve && m.reservations.Reserve(msg.Transfer, msg.Work, now)
	d := ReceiveNew(msg, room)
	if !d.Write {
		m.send(msg.Transfer.Origin, d.Send)
		return
	}
	i := &incomingTransfer{holder: NewLeaseHolder(m.FencingToken)}
	m.incoming[msg.Transfer] = i
	if m.applyTarget(ctx, i, d); i.version == 0 {
		delete(m.incoming, msg.Transfer)
		m.reservations.Release(msg.Transfer)
	}
}

func (m *Manager) receiveAtOrigin(ctx context.Context, from string, msg *Message) {
	o := m.outgoing[msg.Transfer.Job]
	switch {
	case o == nil && m.unreadable[PrefixOut+msg.Transfer.Job] != nil:
	case o == nil, o.record.Transfer != msg.Transfer:
		m.send(from, ReplyToUnknown(msg))
	case !o.writing && o.record.Target == from:
		m.applyOrigin(ctx, o, o.record.Receive(msg, &o.grantor, m.Clock.Steady()))
	}
}

// Tick looks at every transfer: what is to be repeated, what has passed its time, and what
// the scheduler has to know. It is called about once a second, by one goroutine.
func (m *Manager) Tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.reservations.Expired(m.Clock.Steady()) {
		if i := m.incoming[id]; i != nil && !i.writing {
			m.applyTarget(ctx, i, i.record.ExpireReservation())
		}
	}
	for _, job := range slices.Sorted(maps.Keys(m.outgoing)) {
		if o := m.outgoing[job]; o != nil && !o.writing && !m.superseded {
			m.tickOutgoing(ctx, job, o)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.incoming), compareTransferIDs) {
		if i := m.incoming[id]; i != nil && !i.writing && !m.superseded {
			m.tickIncoming(ctx, i)
		}
	}
}

func (m *Manager) tickOutgoing(ctx context.Context, job string, o *outgoingTransfer) {
	now := m.Clock.Steady()
	m.applyOrigin(ctx, o, o.record.Tick(&o.grantor, now, m.Config.Timing))
	if o.grantor.SinceLastGrant(now) > reclaimAfterLeases*m.Config.Timing.Lease {
		m.applyOrigin(ctx, o, o.record.Reclaim())
	}
	m.applyOrigin(ctx, o, o.record.Resend())
	if told := m.notifyScheduler(job, &o.record); told && o.record.Removable() {
		m.removeOutgoing(ctx, job, o)
	}
}

// notifyScheduler tells the scheduler where a job is now, and whether it knows so durably.
func (m *Manager) notifyScheduler(job string, r *OriginRecord) bool {
	switch {
	case r.Phase == OriginFinished:
		return m.Scheduler.Finished(job, r.Done)
	case r.Phase == OriginWithdrawn && r.Cause == CauseCancelled:
		return m.Scheduler.Withdrawn(job)
	case r.Phase == OriginWithdrawn:
		return true
	case r.Phase == OriginReturned:
		return m.Scheduler.Returned(job, r.Done, r.NextRestarts())
	}
	return false
}

func (m *Manager) removeOutgoing(ctx context.Context, job string, o *outgoingTransfer) {
	if _, ok := m.write(ctx, &o.writing, o.record.Key(), nil, o.version); ok {
		delete(m.outgoing, job)
	}
}

func (m *Manager) tickIncoming(ctx context.Context, i *incomingTransfer) {
	now := m.Clock.Steady()
	id := i.record.Transfer
	if i.record.Phase == TargetAccepted {
		m.tickAccepted(ctx, i, now)
	}
	if i.record.Phase != TargetAccepted { // Renew tells as much
		m.applyTarget(ctx, i, i.record.Resend())
	}
	if now-i.lastRenewal >= m.Config.Timing.Lease/renewalsPerLease || i.lastRenewal == 0 {
		i.lastRenewal = now
		m.applyTarget(ctx, i, i.record.RequestRenewal(&i.holder, now))
	}
	if i.record.MayRun(&i.holder, m.Clock.Steady()) {
		m.Scheduler.Run(id, i.record.Job, i.record.Done)
		return
	}
	m.Scheduler.Stop(id)
}

// tickAccepted takes over how far the tasks are.
func (m *Manager) tickAccepted(ctx context.Context, i *incomingTransfer, now units.Micros) {
	progress := m.Scheduler.Progress(i.record.Transfer)
	switch {
	case i.record.Stopping && !progress.Running:
		m.applyTarget(ctx, i, i.record.TasksStopped())
	case progress.Complete && i.record.MayRun(&i.holder, now):
		m.applyTarget(ctx, i, i.record.TasksCompleted(progress.Done, true))
	case !i.record.Done.ContainsAll(progress.Done):
		m.applyTarget(ctx, i, i.record.TasksCompleted(progress.Done, false))
	}
}

// applyOrigin carries a decision out: the record is stored, then messages are sent. The
// lock is held, and given up while the record is being stored.
func (m *Manager) applyOrigin(ctx context.Context, o *outgoingTransfer, d OriginDecision) {
	if d.Write {
		version, ok := m.write(ctx, &o.writing, d.Record.Key(), d.Record.Encode(m.nextWriteID()), o.version)
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

func (m *Manager) applyTarget(ctx context.Context, i *incomingTransfer, d TargetDecision) {
	id := d.Record.Transfer
	switch {
	case d.Remove:
		if _, ok := m.write(ctx, &i.writing, d.Record.Key(), nil, i.version); ok {
			delete(m.incoming, id)
			m.reservations.Release(id)
		}
		return
	case d.Write:
		version, ok := m.write(ctx, &i.writing, d.Record.Key(), d.Record.Encode(m.nextWriteID()), i.version)
		if !ok {
			return
		}
		if d.Record.Phase != i.record.Phase {
			m.Log.Info("transfer of another cell's job", "transfer", id.String(), "phase", int(d.Record.Phase), "run", d.Record.Run)
		}
		i.record, i.version = d.Record, version
		m.updateReservation(&i.record)
	}
	m.send(id.Origin, d.Send)
}

// updateReservation has the reservations follow a record.
func (m *Manager) updateReservation(r *TargetRecord) {
	switch r.Phase {
	case TargetAccepted:
		m.reservations.Commit(r.Transfer)
	case TargetFinished, TargetRefused:
		m.reservations.Release(r.Transfer)
	}
}

func (m *Manager) nextWriteID() string {
	return fmt.Sprintf("%d-%d", m.FencingToken, m.Stats.Writes.Load()+1)
}

// write stores a value, with the lock given up meanwhile.
func (m *Manager) write(ctx context.Context, busy *bool, key string, value []byte, version uint64) (uint64, bool) {
	if m.superseded {
		return 0, false
	}
	*busy = true
	m.mu.Unlock()
	m.Stats.Writes.Add(1)
	stored, err := m.Store.Save(ctx, key, value, version)
	m.mu.Lock()
	*busy = false
	if errors.Is(err, ErrConflict) && !m.superseded {
		m.superseded = true
		m.Log.Error("the record of a transfer was written by another leader", "key", key)
		if m.OnSuperseded != nil {
			m.OnSuperseded()
		}
	}
	return stored, err == nil
}

func (m *Manager) send(cell string, messages []Message) {
	for _, msg := range messages {
		m.Stats.Sent.Add(1)
		m.Transport.Send(cell, msg)
	}
}
