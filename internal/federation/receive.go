package federation

import (
	"context"
	"errors"
	"fmt"
)

// ErrForbiddenMessage reports a message that its sender is not allowed to send.
var ErrForbiddenMessage = errors.New("transfer message from a cell that is not allowed to send it")

// Receive processes a message from another cell. The caller must have authenticated the name
// of the sender. Malformed and forbidden messages are logged and counted as rejected.
func (m *Manager) Receive(ctx context.Context, from string, message Message) {
	m.Stats.Received.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkMessage(from, &message); err != nil {
		m.Stats.Rejected.Add(1)
		m.Log.Warn("rejected transfer message", "from", from, "error", err)
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

// checkMessage returns an error if a message is malformed or its sender is not allowed to send
// it: a cell may send messages to the target only for its own jobs, and messages to the
// origin only for jobs of this cell.
func (m *Manager) checkMessage(from string, message *Message) error {
	if err := message.Check(); err != nil {
		return err
	}
	switch {
	case !m.otherCell(from):
		return fmt.Errorf("%w: %q is not another cell of the federation", ErrForbiddenMessage, from)
	case message.Kind.toTarget() && message.Transfer.Origin != from:
		return fmt.Errorf("%w: %v is not the origin of transfer %s", ErrForbiddenMessage, from, message.Transfer)
	case !message.Kind.toTarget() && message.Transfer.Origin != m.Config.Self:
		return fmt.Errorf("%w: transfer %s does not originate in this cell", ErrForbiddenMessage, message.Transfer)
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
		// The state of the transfer is unknown: an answer could revoke a running job or discard
		// its result.
	case transfer == nil, transfer.record.Transfer != message.Transfer:
		m.send(from, ReplyToUnknown(message))
	case !transfer.writing && transfer.record.Target == from:
		m.applyOrigin(ctx, transfer, transfer.record.Receive(message, &transfer.grantor, m.Clock.Steady()))
	}
}
