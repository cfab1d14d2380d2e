package autoscaler

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// releaseReason is the reason for which a machine is released.
type releaseReason string

const (
	releaseQuarantined releaseReason = "quarantined" // the machine is faulty
	releaseBootTimeout releaseReason = "boot timeout"
	// releaseLost means that the machine's heartbeats are missing, that it never sent one to
	// this leader, or that it ignores commands.
	releaseLost releaseReason = "lost"
	releaseIdle releaseReason = "idle"
	// releaseCancelled means that tasks of a cancelled job may be on the machine and have to be gone.
	releaseCancelled releaseReason = "cancelled tasks"
)

// String returns the reason as it is logged.
func (r releaseReason) String() string { return string(r) }

// A machine that has not finished booting is released bootTimeoutFactor boot times plus
// bootTimeoutMargin after its launch.
const (
	bootTimeoutFactor = 6 // multiple of its instance type's boot time
	bootTimeoutMargin = 30 * units.Second
	// bootTimeoutAfterElection is the time after its election in which a leader releases no
	// machine for a boot timeout: machines that already run need it to send their first
	// heartbeat to the new leader.
	bootTimeoutAfterElection = 30 * units.Second
)

// RunUrgentScaleIn releases the machines for which there is a deadline, at regular intervals while the
// leadership is valid. It returns when ctx is cancelled. It does not share the loop of Run, where calls to
// a cloud that does not respond could delay a release beyond its deadline.
func (as *Autoscaler) RunUrgentScaleIn(ctx context.Context) {
	for loop.Sleep(ctx, autoscaleInterval) {
		if !as.Leadership.Valid() {
			continue
		}
		as.State.Lock()
		ids := as.UrgentMachinesToRelease(as.Clock.Steady())
		as.State.Unlock()
		as.releaseMachines(ctx, ids)
	}
}

// scaleIn releases machines that are faulty, lost, did not finish booting, or are idle and not
// needed for the demand or the reserve.
func (as *Autoscaler) scaleIn(ctx context.Context) {
	as.State.Lock()
	ids := as.MachinesToRelease(as.Clock.Steady())
	as.State.Unlock()
	as.releaseMachines(ctx, ids)
}

// releaseMachines releases machines in the given order. It returns early if a request fails or the
// leadership ends: the machines may have got tasks of the next leader since they were chosen.
func (as *Autoscaler) releaseMachines(ctx context.Context, ids []string) {
	for len(ids) > 0 && as.Leadership.Valid() {
		n := min(len(ids), protocol.MaxScaleIn)
		if err := as.Cloud.ScaleIn(ctx, ids[:n]); err != nil {
			as.Log.Debug("scale-in request failed", "machines", ids[:n], "error", err)
			return
		}
		as.machinesReleased(ids[:n])
		ids = ids[n:]
	}
}

// machinesReleased removes machines that the cloud has released from the state.
func (as *Autoscaler) machinesReleased(ids []string) {
	as.State.Lock()
	now := as.Clock.Steady()
	for _, id := range ids {
		as.State.Released.Add(id, now)
		if m := as.State.Machines[id]; m != nil {
			as.removeMachine(m, now)
		} else {
			as.State.MachineGone(id)
		}
	}
	as.Log.Info("scaled in", "machines", ids)
	as.State.Unlock()
	as.CycleSignal.Raise()
}

// UrgentMachinesToRelease returns the IDs of the machines to release by a deadline, the most urgent first:
// those that may hold cancelled tasks.
func (as *Autoscaler) UrgentMachinesToRelease(now units.Micros) []string {
	due := as.Detector.DueCancellations(now)
	for _, id := range due {
		if m := as.State.Machines[id]; m != nil {
			as.markReleasing(m, releaseCancelled)
		}
	}
	return due
}

// MachinesToRelease returns the IDs of the machines to release for which there is no deadline, in
// ascending order. A machine that has been chosen gets no more work and stays chosen, since the cloud
// may carry out a release request that got no answer at any time.
func (as *Autoscaler) MachinesToRelease(now units.Micros) []string {
	chosen := map[string]bool{}
	lost := as.Detector.LostMachines(now)
	for _, id := range sorted.Keys(as.State.Machines) {
		m := as.State.Machines[id]
		if reason, release := as.releaseReason(m, lost, now); release {
			as.markReleasing(m, reason)
		}
		if m.Releasing {
			chosen[id] = true
		}
	}
	for id := range lost {
		if as.State.Machines[id] == nil {
			chosen[id] = true // known only from a stored record
		}
	}
	for _, m := range as.IdleMachines(now) {
		as.markReleasing(m, releaseIdle)
		chosen[m.ID] = true
	}
	for _, id := range as.Detector.DueCancellations(now) {
		delete(chosen, id) // see UrgentMachinesToRelease
	}
	return sorted.Keys(chosen)
}

// markReleasing marks a machine as being released and logs the reason the first time.
func (as *Autoscaler) markReleasing(m *cluster.Machine, reason releaseReason) {
	if !m.Releasing {
		as.Log.Info("machine chosen for scale-in", "machine", m.ID, "why", reason, "tasks", len(m.Attempts))
		m.Releasing = true
	}
}

// releaseReason reports whether a machine is to be released for a reason other than being idle,
// and for which. lost holds the machines that the failure detector reports as lost.
func (as *Autoscaler) releaseReason(m *cluster.Machine, lost map[string]bool, now units.Micros) (releaseReason, bool) {
	switch {
	case m.Registered && m.Quarantined && len(m.Attempts) == 0:
		return releaseQuarantined, true
	case as.bootTimedOut(m, now):
		return releaseBootTimeout, true
	case as.neverRegistered(m, now):
		return releaseLost, true
	case lost[m.ID]:
		// Tasks may start elsewhere once the machine is known to be gone. The release makes
		// sure of that earlier than the lease expiry would.
		return releaseLost, true
	}
	return "", false
}

// bootTimedOut reports whether a machine has exceeded the time in which it should have booted.
func (as *Autoscaler) bootTimedOut(m *cluster.Machine, now units.Micros) bool {
	return !m.Registered && m.Stage != protocol.MachineRunning &&
		now-m.LaunchedAt > bootTimeoutFactor*as.bootTime(m)+bootTimeoutMargin &&
		now-as.ElectedAt > bootTimeoutAfterElection
}

// neverRegistered reports whether a machine has sent this leader no heartbeat for longer than
// its lease plus the grace period of a partitioned zone, and so is lost.
func (as *Autoscaler) neverRegistered(m *cluster.Machine, now units.Micros) bool {
	return !m.Registered &&
		now-max(as.ElectedAt, m.LaunchedAt) > election.WithDrift(as.Settings.Fleet.Workers.LeaseDuration(), failuredetector.ZonePartitionGrace)
}
