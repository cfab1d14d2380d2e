package failuredetector

import "dunestand/internal/units"

// ExpireWorkerLeases drops what silent machines held once their leases have expired, and ends what
// waited for that: the reconciliation after a failover, and cancellations.
func (d *Detector) ExpireWorkerLeases(now units.Micros) {
	d.emptyExpiredMachines(now)
	d.reconcileExpired(now)
	d.endCancelledJobs(now)
}

// emptyExpiredMachines drops the attempts of machines whose leases have expired.
func (d *Detector) emptyExpiredMachines(now units.Micros) {
	lease := d.WorkerLease()
	for _, m := range d.State.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, d.ElectedAt) >= lease {
			d.Log.Info("worker lease expired", "machine", m.ID, "lost", len(m.Attempts))
			m.MayHoldCancelled = m.MayHoldCancelled || d.State.HoldsCancelled(m.ID)
			d.State.RemoveAttempts(m, now)
		}
	}
}

// reconcileExpired marks all machines as reconciled once a worker's lease has passed since the
// election, and notes when all of them are.
func (d *Detector) reconcileExpired(now units.Micros) {
	if d.allReconciled || !d.State.Restored {
		return
	}
	if now-d.ElectedAt >= d.WorkerLease() {
		// What a former leader started is over everywhere, but on machines that
		// accepted a response of this one since: and these have told what they hold,
		// as a response is accepted only to the newest heartbeat. A machine that receives
		// no response would otherwise stay unreconciled for as long as it sends heartbeats.
		machines, jobs := d.State.Unreconciled.Machines(), d.State.Unreconciled.JobCount()
		for _, id := range machines {
			d.State.Unreconciled.Resolve(id)
		}
		if len(machines) > 0 {
			d.Log.Info("worker leases from before the election expired", "machines", len(machines), "jobs_freed", jobs)
		}
	}
	if d.State.Unreconciled.Len() == 0 {
		d.allReconciled = true
		d.Log.Info("all machines reconciled", "after_ms", (now-d.ElectedAt)/units.Millisecond)
	}
}

// endCancelledJobs has the end of cancelled jobs written of which nothing may run any more.
func (d *Detector) endCancelledJobs(now units.Micros) {
	for _, job := range d.State.Jobs {
		nothingRuns := len(job.LiveAttempts) == 0 && len(job.UnreconciledMachines) == 0
		if job.Cancelled && nothingRuns && job.CancelDurable && !job.WritePending() {
			job.MarkChanged(now, true)
			d.WriteSignal.Raise()
		}
	}
}
