package federation

import (
	"context"
	"fmt"
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
	case o == nil && m.unreadable[outgoingKey(msg.Transfer.Job)] != nil:
	case o == nil, o.record.Transfer != msg.Transfer:
		m.send(from, ReplyToUnknown(msg))
	case !o.writing && o.record.Target == from:
		m.applyOrigin(ctx, o, o.record.Receive(msg, &o.grantor, m.Clock.Steady()))
	}
}
