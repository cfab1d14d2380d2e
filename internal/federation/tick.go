package federation

import (
	"context"
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Tick processes all transfers: it resends unanswered messages, expires reservations and leases,
// and notifies the scheduler. It must be called about once per second, by one goroutine, and
// blocks until the store has answered.
func (m *Manager) Tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.reservations.Expired(m.Clock.Steady()) {
		if transfer := m.incoming[id]; transfer != nil && !transfer.writing {
			m.applyTarget(ctx, transfer, transfer.record.ExpireReservation())
		}
	}
	for _, job := range slices.Sorted(maps.Keys(m.outgoing)) {
		if transfer := m.outgoing[job]; transfer != nil && !transfer.writing && !m.superseded {
			m.tickOutgoing(ctx, job, transfer)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.incoming), compareTransferIDs) {
		if transfer := m.incoming[id]; transfer != nil && !transfer.writing && !m.superseded {
			m.tickIncoming(ctx, transfer)
		}
	}
}

func (m *Manager) tickOutgoing(ctx context.Context, job string, transfer *outgoingTransfer) {
	now := m.Clock.Steady()
	m.applyOrigin(ctx, transfer, transfer.record.Tick(&transfer.grantor, now, m.Config.Timing))
	if transfer.grantor.SinceLastGrant(now) > reclaimAfterLeases*m.Config.Timing.Lease {
		m.applyOrigin(ctx, transfer, transfer.record.Reclaim())
	}
	m.applyOrigin(ctx, transfer, transfer.record.Resend())
	if notified := m.notifyScheduler(job, transfer.record); notified && transfer.record.Removable() {
		if removeRecord(ctx, m, &transfer.versionedRecord) {
			delete(m.outgoing, job)
		}
	}
}

// notifyScheduler returns a job to the scheduler or ends it there. It reports whether the
// scheduler has stored that durably, so that the transfer record may be deleted.
func (m *Manager) notifyScheduler(job string, record OriginRecord) bool {
	switch {
	case record.Phase == OriginFinished:
		return m.Scheduler.Finished(job, record.Done)
	case record.Phase == OriginWithdrawn && record.Cause == CauseCancelled:
		return m.Scheduler.Withdrawn(job)
	case record.Phase == OriginWithdrawn:
		return true
	case record.Phase == OriginReturned:
		return m.Scheduler.Returned(job, record.Done, record.NextRestarts())
	}
	return false
}

func (m *Manager) tickIncoming(ctx context.Context, transfer *incomingTransfer) {
	now := m.Clock.Steady()
	id := transfer.record.Transfer
	if transfer.record.Phase == TargetAccepted {
		m.tickAccepted(ctx, transfer, now)
	}
	if transfer.record.Phase != TargetAccepted { // in TargetAccepted, MessageRenew also confirms the acceptance
		m.applyTarget(ctx, transfer, transfer.record.Resend())
	}
	if now-transfer.lastRenewal >= m.Config.Timing.Lease/renewalsPerLease || transfer.lastRenewal == 0 {
		transfer.lastRenewal = now
		m.applyTarget(ctx, transfer, transfer.record.RequestRenewal(&transfer.holder, now))
	}
	if transfer.record.MayRun(&transfer.holder, m.Clock.Steady()) {
		m.Scheduler.Run(id, transfer.record.Job, transfer.record.Done)
		return
	}
	m.Scheduler.Stop(id)
}

// tickAccepted records the progress of the tasks of an accepted job.
func (m *Manager) tickAccepted(ctx context.Context, transfer *incomingTransfer, now units.Micros) {
	progress := m.Scheduler.Progress(transfer.record.Transfer)
	switch {
	case transfer.record.Stopping && !progress.Running:
		m.applyTarget(ctx, transfer, transfer.record.TasksStopped())
	case progress.Complete && transfer.record.MayRun(&transfer.holder, now):
		m.applyTarget(ctx, transfer, transfer.record.TasksCompleted(progress.Done, true))
	case !transfer.record.Done.ContainsAll(progress.Done):
		m.applyTarget(ctx, transfer, transfer.record.TasksCompleted(progress.Done, false))
	}
}
