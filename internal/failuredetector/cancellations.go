package failuredetector

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// Times that the release of machines by a deadline can take.
const (
	// unansweredRelease is the time of a request to the cloud that gets no response.
	unansweredRelease = 4 * units.Second
	// releaseRateShare is the share of the cloud's request rate that releases can count on.
	releaseRateShare = 0.5
	// restoreTime is the time that a new leader needs to read the records.
	restoreTime = 2 * units.Second
)

// DueCancellations returns the IDs of the machines that have to be released now, the most urgent
// first, because tasks of a cancelled job that may be on them have to be gone by cancel_s after its
// user was told. A machine that hangs ends no task, and nothing but its release does. So neither the
// health of other machines nor a delay of this controller matters, unlike in LostMachines.
//
// If users are told only when no task is left on any machine, there is no such deadline. The machines
// are then due when their leases have expired, since users wait for them.
func (d *Detector) DueCancellations(now units.Micros) []string {
	cancelledAt := d.cancellationsByMachine()
	release := d.releaseTime(len(cancelledAt))
	var due []string
	for _, id := range sorted.Keys(cancelledAt) {
		if d.releaseDue(id, cancelledAt[id], release, now) {
			due = append(due, id)
		}
	}
	slices.SortStableFunc(due, func(a, b string) int { return cmp.Compare(cancelledAt[a], cancelledAt[b]) })
	return due
}

// cancellationsByMachine returns, by ID, each machine that may hold tasks of a cancelled job, with the
// earliest time at which a user may have been told of such a cancellation.
func (d *Detector) cancellationsByMachine() map[string]units.Micros {
	cancelledAt := map[string]units.Micros{}
	add := func(id string, job *cluster.Job) {
		if at, ok := cancelledAt[id]; !ok || job.CancelledAt < at {
			cancelledAt[id] = job.CancelledAt
		}
	}
	for _, job := range d.State.Jobs {
		if !job.Cancelled {
			continue
		}
		for attempt := range job.LiveAttempts.All() {
			if attempt.Stage != cluster.Assigned {
				add(attempt.Machine.ID, job)
			}
		}
		for id := range job.UnreconciledMachines {
			add(id, job)
		}
		for id := range job.ExpiredMachines {
			add(id, job)
		}
	}
	return cancelledAt
}

// releaseTime returns the time that the release of a number of machines may take, with one request
// that gets no response.
func (d *Detector) releaseTime(machines int) units.Micros {
	requests := (machines + protocol.MaxScaleIn - 1) / protocol.MaxScaleIn
	return unansweredRelease + units.Seconds(float64(requests)/(d.Settings.Fleet.Cloud.RPS*releaseRateShare))
}

// releaseDue reports whether a machine must be released now. cancelledAt is the time from which
// cancel_s counts, and release the time that the release may take.
func (d *Detector) releaseDue(id string, cancelledAt, release, now units.Micros) bool {
	workers := d.Settings.Fleet.Workers
	if !election.ConfirmsCancellationWhenDurable(workers) {
		return d.State.Expired.Contains(id)
	}
	deadline := cancelledAt + workers.CancelBound()
	// The deadline must hold even if this leader fails now. But before its lease has expired, the
	// machine may run tasks that are not cancelled.
	afterFailover := release - unansweredRelease + election.FailoverTime(workers) + restoreTime
	afterLease := workers.CancelBound() - d.WorkerLease()
	lead := max(release, min(afterFailover, afterLease))
	return now >= max(deadline-lead, d.awaitSearch(deadline-release))
}

// awaitSearch returns the time until which a new leader waits for the heartbeat of a machine that may
// still be searching for it. This is at most latest, unless that has passed before the election.
func (d *Detector) awaitSearch(latest units.Micros) units.Micros {
	search := d.ElectedAt + leaderSearchStart + d.maxHeartbeatInterval()
	if latest > d.ElectedAt {
		return min(search, latest)
	}
	return search
}
