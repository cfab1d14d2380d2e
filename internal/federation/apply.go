package federation

import (
	"context"
	"errors"
	"fmt"
)

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
