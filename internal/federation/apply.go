package federation

import (
	"context"
	"errors"
	"fmt"
)

// applyOrigin executes a decision for an outgoing transfer: it writes the record, then sends the
// messages. If the write fails, nothing is sent. It must be called with m.mu held, which is
// released while the record is being written.
func (m *Manager) applyOrigin(ctx context.Context, transfer *outgoingTransfer, decision Decision[OriginRecord]) {
	if decision.Write {
		before := transfer.record.Phase
		if !writeRecord(ctx, m, &transfer.versionedRecord, decision.Record) {
			return
		}
		if now := transfer.record; now.Phase != before {
			m.Log.Info("outgoing transfer changed phase", "transfer", now.Transfer.String(), "target", now.Target,
				"phase", now.Phase.String(), "run", now.Run)
		}
	}
	m.send(decision.Record.Target, decision.Send)
}

// applyTarget executes a decision for an incoming transfer like applyOrigin, and updates the
// reservation of the transfer.
func (m *Manager) applyTarget(ctx context.Context, transfer *incomingTransfer, decision Decision[TargetRecord]) {
	id := decision.Record.Transfer
	if decision.Remove {
		if removeRecord(ctx, m, &transfer.versionedRecord) {
			delete(m.incoming, id)
			m.reservations.Release(id)
		}
		return
	}
	if decision.Write {
		before := transfer.record.Phase
		if !writeRecord(ctx, m, &transfer.versionedRecord, decision.Record) {
			return
		}
		if now := transfer.record; now.Phase != before {
			m.Log.Info("incoming transfer changed phase", "transfer", id.String(), "phase", now.Phase.String(), "run", now.Run)
		}
		m.updateReservation(transfer.record)
	}
	m.send(id.Origin, decision.Send)
}

// updateReservation commits or releases the reservation of a transfer according to the phase of
// its record.
func (m *Manager) updateReservation(record TargetRecord) {
	switch record.Phase {
	case TargetAccepted:
		m.reservations.Commit(record.Transfer)
	case TargetFinished, TargetRefused:
		m.reservations.Release(record.Transfer)
	}
}

// writeRecord replaces the current record and reports whether the new one is stored.
func writeRecord[R transferRecord](ctx context.Context, m *Manager, current *versionedRecord[R], next R) bool {
	version, ok := m.compareAndSwap(ctx, &current.writing, next.Key(), next.Encode(m.nextWriteID()), current.version)
	if ok {
		current.record, current.version = next, version
	}
	return ok
}

// removeRecord deletes a record and reports whether the deletion succeeded.
func removeRecord[R transferRecord](ctx context.Context, m *Manager, current *versionedRecord[R]) bool {
	_, ok := m.compareAndSwap(ctx, &current.writing, current.record.Key(), nil, current.version)
	return ok
}

// nextWriteID returns an ID for the next write that is unique across all leaders of the cell.
func (m *Manager) nextWriteID() string {
	return fmt.Sprintf("%d-%d", m.FencingToken, m.Stats.Writes.Load()+1)
}

// compareAndSwap writes a value, or deletes the key if the value is nil. It returns the new
// version and whether the write succeeded. m.mu is released during the write; *writing is set
// meanwhile, so that no other decision is made on the same record. After a version conflict
// the Manager makes no more decisions, since another leader may be active.
func (m *Manager) compareAndSwap(ctx context.Context, writing *bool, key string, value []byte, version uint64) (uint64, bool) {
	if m.superseded {
		return 0, false
	}
	*writing = true
	m.mu.Unlock()
	m.Stats.Writes.Add(1)
	stored, err := m.Store.CompareAndSwap(ctx, key, value, version)
	m.mu.Lock()
	*writing = false
	if errors.Is(err, ErrVersionConflict) && !m.superseded {
		m.superseded = true
		m.Log.Error("version conflict on transfer record; this leader processes no more transfers", "key", key)
		if m.OnSuperseded != nil {
			m.OnSuperseded()
		}
	}
	return stored, err == nil
}

func (m *Manager) send(cell string, messages []Message) {
	for _, message := range messages {
		m.Stats.Sent.Add(1)
		m.Transport.Send(cell, message)
	}
}
