package federation

import (
	"context"
	"errors"
	"fmt"
)

// ErrForbiddenMessage reports a message that the cell it came from may not send.
var ErrForbiddenMessage = errors.New("message of a transfer from a cell that may not send it")

// Receive decides on a message from another cell, whose name the caller has authenticated.
// A malformed or forbidden message is logged and counted as rejected.
func (m *Manager) Receive(ctx context.Context, from string, message Message) {
	m.Stats.Received.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkMessage(from, &message); err != nil {
		m.Stats.Rejected.Add(1)
		m.Log.Warn("message of a transfer rejected", "from", from, "error", err)
		return
	}
	if m.superseded {
		return
	}
	if message.Kind.toTarget() {
		m.receiveAtTarget(ctx, &message)
		return
	}
	m.receiveAtOrigin(ctx, from, &message)
}

// checkMessage returns why a message of a cell must not be acted on, nil if it may be: a
// cell speaks only for transfers of its own jobs, and answers only about this cell's.
func (m *Manager) checkMessage(from string, message *Message) error {
	if err := message.Check(); err != nil {
		return err
	}
	switch {
	case !m.otherCell(from):
		return fmt.Errorf("%w: %q is no other cell", ErrForbiddenMessage, from)
	case message.Kind.toTarget() && message.Transfer.Origin != from:
		return fmt.Errorf("%w: %v speaks for %s", ErrForbiddenMessage, from, message.Transfer)
	case !message.Kind.toTarget() && message.Transfer.Origin != m.Config.Self:
		return fmt.Errorf("%w: %s is no transfer of this cell", ErrForbiddenMessage, message.Transfer)
	}
	return nil
}

func (m *Manager) receiveAtTarget(ctx context.Context, message *Message) {
	now := m.Clock.Steady()
	id := message.Transfer
	if transfer := m.incoming[id]; transfer != nil {
		if !transfer.writing {
			m.applyTarget(ctx, transfer, transfer.record.Receive(message, &transfer.holder, m.Config.Timing.Lease, now))
		}
		return
	}
	if m.unreadable[incomingKey(id)] != nil {
		return
	}
	hasCapacity := message.Kind == MessageReserve && m.reservations.Reserve(id, message.Work, now)
	decision := ReceiveNew(message, hasCapacity)
	if !decision.Write {
		m.send(id.Origin, decision.Send)
		return
	}
	transfer := &incomingTransfer{holder: NewLeaseHolder(m.FencingToken)}
	m.incoming[id] = transfer
	m.applyTarget(ctx, transfer, decision)
	if !transfer.stored() {
		delete(m.incoming, id)
		m.reservations.Release(id)
	}
}

func (m *Manager) receiveAtOrigin(ctx context.Context, from string, message *Message) {
	transfer := m.outgoing[message.Transfer.Job]
	switch {
	case transfer == nil && m.unreadable[outgoingKey(message.Transfer.Job)] != nil:
		// What the record says is not known, so nothing is answered.
	case transfer == nil, transfer.record.Transfer != message.Transfer:
		m.send(from, ReplyToUnknown(message))
	case !transfer.writing && transfer.record.Target == from:
		m.applyOrigin(ctx, transfer, transfer.record.Receive(message, &transfer.grantor, m.Clock.Steady()))
	}
}
