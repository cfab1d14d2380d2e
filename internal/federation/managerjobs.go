package federation

import (
	"context"
	"errors"
	"fmt"
)

// ErrTransferNotBegun reports that Manager.BeginTransfer has not begun a transfer.
var ErrTransferNotBegun = errors.New("transfer not begun")

// TransferRequest requests the transfer of a job to another cell.
type TransferRequest struct {
	Job    string // job ID
	Class  string
	Target string // name of the target cell
	// Description is the job description as submitted by the user. Work is the capacity that
	// the job needs.
	Description []byte
	Work        Work
	// Restarts is the number of restarts of the job so far.
	Restarts int
}

// BeginTransfer begins the transfer of a job of this cell. No task of the job may be on a machine,
// and the scheduler must not start any until Scheduler.Returned is called. An error wraps
// ErrTransferNotBegun and leaves the job unchanged: it stays in this cell, or in the transfer
// that it already has.
func (m *Manager) BeginTransfer(ctx context.Context, request TransferRequest) error {
	policy := m.Config.Class(request.Class)
	switch {
	case policy == nil:
		return fmt.Errorf("%w: class %q of job %q is not eligible for transfer", ErrTransferNotBegun, request.Class, request.Job)
	case request.Restarts > policy.MaxRestarts:
		return fmt.Errorf("%w: %d restarts of job %q exceed the limit of %d of its class", ErrTransferNotBegun, request.Restarts, request.Job, policy.MaxRestarts)
	case !m.otherCell(request.Target):
		return fmt.Errorf("%w: target %q of job %q is not another cell of the federation", ErrTransferNotBegun, request.Target, request.Job)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outgoing[request.Job] != nil || m.unreadable[outgoingKey(request.Job)] != nil {
		return fmt.Errorf("%w: job %q already has a transfer record", ErrTransferNotBegun, request.Job)
	}
	m.transferCount++
	id := TransferID{
		Origin:      m.Config.Self,
		Job:         request.Job,
		Incarnation: m.FencingToken<<incarnationBits | m.transferCount,
	}
	if err := id.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrTransferNotBegun, err)
	}
	transfer := &outgoingTransfer{grantor: NewLeaseGrantor(m.LeaseAcquiredAt)}
	m.outgoing[request.Job] = transfer
	m.applyOrigin(ctx, transfer, BeginTransfer(id, request, policy.MaxRestarts))
	if !transfer.stored() {
		delete(m.outgoing, request.Job)
		return fmt.Errorf("%w: transfer record of job %q was not stored", ErrTransferNotBegun, request.Job)
	}
	return nil
}

// otherCell reports whether name is a cell of the cells file other than this one.
func (m *Manager) otherCell(name string) bool {
	return name != m.Config.Self && m.Config.Cell(name) != nil
}

// Cancel begins the cancellation of a transferred job. The caller must repeat the call until the
// Manager calls Scheduler.Withdrawn or Scheduler.Returned for the job. After Withdrawn the
// cancellation may be reported to the user; after Returned the scheduler must cancel the job
// first.
func (m *Manager) Cancel(ctx context.Context, job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if transfer := m.outgoing[job]; transfer != nil && !transfer.writing {
		m.applyOrigin(ctx, transfer, transfer.record.Cancel())
	}
}

// EndJob must be called before the terminal state of a job of this cell is stored. It reports
// whether the state may be stored now; if not, the caller must try again later.
func (m *Manager) EndJob(ctx context.Context, job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	transfer := m.outgoing[job]
	switch {
	case transfer == nil:
		return true
	case transfer.writing:
		return false
	}
	m.applyOrigin(ctx, transfer, transfer.record.EndJob())
	return transfer.record.Phase == OriginWithdrawn && !m.superseded
}

// Owner returns the cell that may start tasks of a job of this cell. It is OwnerNone if the
// transfer record of the job cannot be decoded.
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

// MayRun reports whether this cell may start tasks of another cell's job and continue running
// them.
func (m *Manager) MayRun(id TransferID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	transfer := m.incoming[id]
	return transfer != nil && !m.superseded && transfer.record.MayRun(&transfer.holder, m.Clock.Steady())
}
