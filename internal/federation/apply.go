package federation

import (
	"context"
	"errors"
	"fmt"
)

// applyOrigin carries out a decision about a transfer of this cell's job: the record is
// written, then the messages are sent. It is called with the lock held, which is released
// while the record is being written.
func (m *Manager) applyOrigin(ctx context.Context, transfer *outgoingTransfer, decision Decision[OriginRecord]) {
	if decision.Write {
		before := transfer.record.Phase
		if !writeRecord(ctx, m, &transfer.versionedRecord, decision.Record) {
			return
		}
		if now := transfer.record; now.Phase != before {
			m.Log.Info("transfer of a job", "transfer", now.Transfer.String(), "target", now.Target,
				"phase", now.Phase.String(), "run", now.Run)
		}
	}
	m.send(decision.Record.Target, decision.Send)
}

// applyTarget does the same for a transfer of another cell's job, and has the reservations
// follow the record.
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
			m.Log.Info("transfer of another cell's job", "transfer", id.String(), "phase", now.Phase.String(), "run", now.Run)
		}
		m.updateReservation(transfer.record)
	}
	m.send(id.Origin, decision.Send)
}

// updateReservation has the reservations follow a record.
func (m *Manager) updateReservation(record TargetRecord) {
	switch record.Phase {
	case TargetAccepted:
		m.reservations.Commit(record.Transfer)
	case TargetFinished, TargetRefused:
		m.reservations.Release(record.Transfer)
	}
}

// writeRecord writes a record in place of the current one and reports whether it is stored.
func writeRecord[R transferRecord](ctx context.Context, m *Manager, current *versionedRecord[R], next R) bool {
	version, ok := m.compareAndSwap(ctx, &current.writing, next.Key(), next.Encode(m.nextWriteID()), current.version)
	if ok {
		current.record, current.version = next, version
	}
	return ok
}

// removeRecord deletes a record and reports whether it is gone.
func removeRecord[R transferRecord](ctx context.Context, m *Manager, current *versionedRecord[R]) bool {
	_, ok := m.compareAndSwap(ctx, &current.writing, current.record.Key(), nil, current.version)
	return ok
}

// nextWriteID identifies the write that comes next, under all leaders of the cell.
func (m *Manager) nextWriteID() string {
	return fmt.Sprintf("%d-%d", m.FencingToken, m.Stats.Writes.Load()+1)
}

// compareAndSwap writes a value, or deletes the key if it is nil, and returns the new
// version and whether that is done. The lock is released meanwhile; writing is set, so
// that nothing else is decided on that record. After a version conflict the Manager
// decides nothing more: another leader is at work.
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
		m.Log.Error("the record of a transfer was written by another leader", "key", key)
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
