package failuredetector

import "dunestand/internal/units"

// ExpireWorkerLeases drops the attempts of silent machines whose leases have expired. It then
// completes the reconciliation after a failover and the cancellations that depended on them.
func (d *Detector) ExpireWorkerLeases(now units.Micros) {
	d.dropExpiredAttempts(now)
	d.reconcileExpired(now)
	d.endCancelledJobs(now)
}

// dropExpiredAttempts drops the attempts of machines whose leases have expired.
func (d *Detector) dropExpiredAttempts(now units.Micros) {
	lease := d.WorkerLease()
	for _, m := range d.State.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, d.ElectedAt) >= lease {
			d.Log.Info("worker lease expired", "machine", m.ID, "lost", len(m.Attempts))
			d.State.ExpireLease(m, now)
		}
	}
}

// reconcileExpired marks all machines as reconciled once a worker's lease, counted from the election,
// has expired. It records when no machine is unreconciled any more.
func (d *Detector) reconcileExpired(now units.Micros) {
	if d.allReconciled || !d.State.Restored {
		return
	}
	if now-d.ElectedAt >= d.WorkerLease() {
		// By now the attempts that a former leader started have ended on every machine that
		// has accepted no response of this leader. The other machines have reported their
		// attempts, since a worker accepts a response only to its newest heartbeat. Without this
		// step, a machine that sends heartbeats and receives no response would stay
		// unreconciled.
		machines, jobs := d.State.Unreconciled.Machines(), d.State.Unreconciled.JobCount()
		for _, id := range machines {
			d.expireUnreconciled(id, now)
		}
		if len(machines) > 0 {
			d.Log.Info("worker leases from before the election expired; machines reconciled", "machines", len(machines), "jobs_freed", jobs)
		}
	}
	if d.State.Unreconciled.Len() == 0 {
		d.allReconciled = true
		d.Log.Info("all machines reconciled", "after_ms", (now-d.ElectedAt)/units.Millisecond)
	}
}

// expireUnreconciled marks an unreconciled machine as reconciled after the expiry of its worker lease. If
// it is silent, it may hang and still hold tasks.
func (d *Detector) expireUnreconciled(id string, now units.Micros) {
	if m := d.State.Machines[id]; m == nil || !m.Registered || now-m.LastHeartbeat > d.SuspectAfter() {
		for _, job := range d.State.Unreconciled.JobsOn(id) {
			d.State.Expired.Mark(job, id)
		}
	}
	d.State.Unreconciled.Resolve(id)
}

// endCancelledJobs requests the write of the terminal state of each cancelled job that can have no
// running attempt any more.
func (d *Detector) endCancelledJobs(now units.Micros) {
	for _, job := range d.State.Jobs {
		if job.Cancelled && !job.MayHoldTasks() && job.CancelDurable && !job.WritePending() {
			job.MarkChanged(now, true)
			d.WriteSignal.Raise()
		}
	}
}
