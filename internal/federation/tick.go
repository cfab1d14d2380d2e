package federation

import (
	"context"
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Tick looks at every transfer: what is to be repeated, what has passed its time, and what
// the scheduler has to know. It is called about once a second, by one goroutine.
func (m *Manager) Tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.reservations.Expired(m.Clock.Steady()) {
		if i := m.incoming[id]; i != nil && !i.writing {
			m.applyTarget(ctx, i, i.record.ExpireReservation())
		}
	}
	for _, job := range slices.Sorted(maps.Keys(m.outgoing)) {
		if o := m.outgoing[job]; o != nil && !o.writing && !m.superseded {
			m.tickOutgoing(ctx, job, o)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.incoming), compareTransferIDs) {
		if i := m.incoming[id]; i != nil && !i.writing && !m.superseded {
			m.tickIncoming(ctx, i)
		}
	}
}

func (m *Manager) tickOutgoing(ctx context.Context, job string, o *outgoingTransfer) {
	now := m.Clock.Steady()
	m.applyOrigin(ctx, o, o.record.Tick(&o.grantor, now, m.Config.Timing))
	if o.grantor.SinceLastGrant(now) > reclaimAfterLeases*m.Config.Timing.Lease {
		m.applyOrigin(ctx, o, o.record.Reclaim())
	}
	m.applyOrigin(ctx, o, o.record.Resend())
	if notified := m.notifyScheduler(job, o.record); notified && o.record.Removable() {
		if removeRecord(ctx, m, &o.versionedRecord) {
			delete(m.outgoing, job)
		}
	}
}

// notifyScheduler tells the scheduler where a job is now, and whether it knows so durably.
func (m *Manager) notifyScheduler(job string, r OriginRecord) bool {
	switch {
	case r.Phase == OriginFinished:
		return m.Scheduler.Finished(job, r.Done)
	case r.Phase == OriginWithdrawn && r.Cause == CauseCancelled:
		return m.Scheduler.Withdrawn(job)
	case r.Phase == OriginWithdrawn:
		return true
	case r.Phase == OriginReturned:
		return m.Scheduler.Returned(job, r.Done, r.NextRestarts())
	}
	return false
}

func (m *Manager) tickIncoming(ctx context.Context, i *incomingTransfer) {
	now := m.Clock.Steady()
	id := i.record.Transfer
	if i.record.Phase == TargetAccepted {
		m.tickAccepted(ctx, i, now)
	}
	if i.record.Phase != TargetAccepted { // Renew tells as much
		m.applyTarget(ctx, i, i.record.Resend())
	}
	if now-i.lastRenewal >= m.Config.Timing.Lease/renewalsPerLease || i.lastRenewal == 0 {
		i.lastRenewal = now
		m.applyTarget(ctx, i, i.record.RequestRenewal(&i.holder, now))
	}
	if i.record.MayRun(&i.holder, m.Clock.Steady()) {
		m.Scheduler.Run(id, i.record.Job, i.record.Done)
		return
	}
	m.Scheduler.Stop(id)
}

// tickAccepted takes over how far the tasks are.
func (m *Manager) tickAccepted(ctx context.Context, i *incomingTransfer, now units.Micros) {
	progress := m.Scheduler.Progress(i.record.Transfer)
	switch {
	case i.record.Stopping && !progress.Running:
		m.applyTarget(ctx, i, i.record.TasksStopped())
	case progress.Complete && i.record.MayRun(&i.holder, now):
		m.applyTarget(ctx, i, i.record.TasksCompleted(progress.Done, true))
	case !i.record.Done.ContainsAll(progress.Done):
		m.applyTarget(ctx, i, i.record.TasksCompleted(progress.Done, false))
	}
}
