package federation

import (
	"context"
	"errors"
	"fmt"
)

// ErrNotHandedOver says that a job is not handed over.
var ErrNotHandedOver = errors.New("the job is not handed over")

// HandOver begins to hand a job over that has no task on a machine. reruns is how often it
// was begun anew. The scheduler starts nothing of it until Returned is called.
func (m *Manager) HandOver(ctx context.Context, job, class string, description []byte, work Work, reruns int, target string) error {
	rules := m.Config.Class(class)
	switch {
	case rules == nil:
		return fmt.Errorf("%w: class %q stays where it is", ErrNotHandedOver, class)
	case reruns > rules.MaxRestarts:
		return fmt.Errorf("%w: its class allows no further run", ErrNotHandedOver)
	case target == m.Config.Self || m.Config.Cell(target) == nil:
		return fmt.Errorf("%w: %q is no other cell", ErrNotHandedOver, target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outgoing[job] != nil || m.unreadable[outgoingKey(job)] != nil {
		return fmt.Errorf("%w: it has a transfer", ErrNotHandedOver)
	}
	m.transferCount++
	id := TransferID{Origin: m.Config.Self, Job: job, Incarnation: m.FencingToken<<incarnationBits | m.transferCount}
	if err := id.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHandedOver, err)
	}
	o := &outgoingTransfer{grantor: NewLeaseGrantor(m.LeaseAcquiredAt)}
	m.outgoing[job] = o
	if m.applyOrigin(ctx, o, BeginTransfer(id, target, description, work, rules.MaxRestarts, reruns)); o.version == 0 {
		delete(m.outgoing, job)
		return fmt.Errorf("%w: its transfer was not stored", ErrNotHandedOver)
	}
	return nil
}

// Cancel begins to cancel a job that was handed over. It is called until the scheduler was
// told, by Withdrawn, or has the job back by Returned; then its user may be told.
func (m *Manager) Cancel(ctx context.Context, job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outgoing[job]; o != nil && !o.writing {
		m.applyOrigin(ctx, o, o.record.Cancel())
	}
}

// JobEnded is called before the end of a job is stored that had returned. It tells whether
// the end may be stored.
func (m *Manager) JobEnded(ctx context.Context, job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.outgoing[job]
	switch {
	case o == nil:
		return true
	case o.writing:
		return false
	}
	m.applyOrigin(ctx, o, o.record.JobEnded())
	return o.record.Phase == OriginWithdrawn && !m.superseded
}

// Owner tells who may start tasks of a job of this cell.
func (m *Manager) Owner(job string) Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outgoing[job]; o != nil {
		return o.record.Owner()
	}
	if m.unreadable[outgoingKey(job)] != nil {
		return OwnerNone
	}
	return OwnerOrigin
}

// MayRun tells whether tasks of another cell's job may be started, and may go on.
func (m *Manager) MayRun(id TransferID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.incoming[id]
	return i != nil && !m.superseded && i.record.MayRun(&i.holder, m.Clock.Steady())
}
