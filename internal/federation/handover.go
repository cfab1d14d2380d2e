package federation

import (
	"context"
	"errors"
	"fmt"
)

// ErrNotHandedOver reports that a job stays at its origin.
var ErrNotHandedOver = errors.New("the job is not handed over")

// HandOverRequest is a job that is to be handed over to another cell.
type HandOverRequest struct {
	Job    string // id of the job
	Class  string
	Target string // name of the target cell
	// Description is the job as its user sent it, Work the capacity it takes.
	Description []byte
	Work        Work
	// Restarts is how often the job has been restarted so far.
	Restarts int
}

// HandOver begins to hand over a job that has no task on a machine. From then on the
// scheduler starts no task of it, until Scheduler.Returned is called. An error wraps
// ErrNotHandedOver: the job stays where it is, which is elsewhere if it has a transfer
// already.
func (m *Manager) HandOver(ctx context.Context, request HandOverRequest) error {
	policy := m.Config.Class(request.Class)
	switch {
	case policy == nil:
		return fmt.Errorf("%w: class %q stays where it is", ErrNotHandedOver, request.Class)
	case request.Restarts > policy.MaxRestarts:
		return fmt.Errorf("%w: its class allows no further run", ErrNotHandedOver)
	case !m.otherCell(request.Target):
		return fmt.Errorf("%w: %q is no other cell", ErrNotHandedOver, request.Target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outgoing[request.Job] != nil || m.unreadable[outgoingKey(request.Job)] != nil {
		return fmt.Errorf("%w: it has a transfer", ErrNotHandedOver)
	}
	m.transferCount++
	id := TransferID{
		Origin:      m.Config.Self,
		Job:         request.Job,
		Incarnation: m.FencingToken<<incarnationBits | m.transferCount,
	}
	if err := id.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHandedOver, err)
	}
	transfer := &outgoingTransfer{grantor: NewLeaseGrantor(m.LeaseAcquiredAt)}
	m.outgoing[request.Job] = transfer
	m.applyOrigin(ctx, transfer, BeginTransfer(id, request, policy.MaxRestarts))
	if !transfer.stored() {
		delete(m.outgoing, request.Job)
		return fmt.Errorf("%w: its transfer was not stored", ErrNotHandedOver)
	}
	return nil
}

// otherCell reports whether a name is that of another cell of the cells file.
func (m *Manager) otherCell(name string) bool {
	return name != m.Config.Self && m.Config.Cell(name) != nil
}

// Cancel begins to cancel a job that was handed over. It is called again until the
// scheduler is called, by Withdrawn, or by Returned with the job; then the user may be told.
func (m *Manager) Cancel(ctx context.Context, job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if transfer := m.outgoing[job]; transfer != nil && !transfer.writing {
		m.applyOrigin(ctx, transfer, transfer.record.Cancel())
	}
}

// JobEnded is called before the end of a job of this cell is stored, and reports whether it
// may be stored now.
func (m *Manager) JobEnded(ctx context.Context, job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	transfer := m.outgoing[job]
	switch {
	case transfer == nil:
		return true
	case transfer.writing:
		return false
	}
	m.applyOrigin(ctx, transfer, transfer.record.JobEnded())
	return transfer.record.Phase == OriginWithdrawn && !m.superseded
}

// Owner returns which cell may start tasks of a job of this cell.
func (m *Manager) Owner(job string) Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if transfer := m.outgoing[job]; transfer != nil {
		return transfer.record.Owner()
	}
	if m.unreadable[outgoingKey(job)] != nil {
		return OwnerNone
	}
	return OwnerOrigin
}

// MayRun reports whether tasks of another cell's job may be started, and may go on.
func (m *Manager) MayRun(id TransferID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	transfer := m.incoming[id]
	return transfer != nil && !m.superseded && transfer.record.MayRun(&transfer.holder, m.Clock.Steady())
}
