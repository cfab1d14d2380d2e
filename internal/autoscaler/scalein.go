package autoscaler

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/failuredetector"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// releaseReason says why a machine is released.
type releaseReason string

// The reasons.
const (
	releaseQuarantined releaseReason = "quarantined" // it is faulty
	releaseBootTimeout releaseReason = "boot timeout"
	// releaseLost: its heartbeats are missing or never came, or it ignores commands.
	releaseLost releaseReason = "lost"
	releaseIdle releaseReason = "idle"
)

// String returns the reason as it is logged.
func (r releaseReason) String() string { return string(r) }

// When a machine that does not come up is given up.
const (
	bootTimeoutFactor = 6 // times its instance type's boot time
	bootTimeoutMargin = 30 * units.Second
	// bootTimeoutElected is how long after its election a leader gives none up: those that
	// are up have to find it first.
	bootTimeoutElected = 30 * units.Second
)

// scaleIn releases machines that are faulty, lost, never came up, or
// are idle beyond what is to be kept.
func (as *Autoscaler) scaleIn(ctx context.Context) {
	as.State.Lock()
	ids := as.MachinesToRelease(as.Clock.Steady())
	as.State.Unlock()
	for len(ids) > 0 {
		n := min(len(ids), protocol.MaxScaleIn)
		if err := as.Cloud.ScaleIn(ctx, ids[:n]); err != nil {
			as.Log.Debug("scale-in request failed", "machines", ids[:n], "error", err)
			return
		}
		as.machinesReleased(ids[:n])
		ids = ids[n:]
	}
}

// machinesReleased removes machines that the cloud has released.
func (as *Autoscaler) machinesReleased(ids []string) {
	as.State.Lock()
	now := as.Clock.Steady()
	for _, id := range ids {
		as.State.Released.Add(id, now)
		if m := as.State.Machines[id]; m != nil {
			as.removeMachine(m, now)
		} else {
			as.State.Unreconciled.Resolve(id)
		}
	}
	as.Log.Info("scaled in", "machines", ids)
	as.State.Unlock()
	as.CycleSignal.Raise()
}

// MachinesToRelease returns the IDs of the machines to be released. A machine once chosen gets
// no work and stays chosen, since a release that got no answer may be carried
// out at any time.
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
			chosen[id] = true // only a record tells of it
		}
	}
	for _, m := range as.IdleMachines(now) {
		as.markReleasing(m, releaseIdle)
		chosen[m.ID] = true
	}
	return sorted.Keys(chosen)
}

// markReleasing notes that a machine is to be released.
func (as *Autoscaler) markReleasing(m *cluster.Machine, reason releaseReason) {
	if !m.Releasing {
		as.Log.Info("machine chosen for scale-in", "machine", m.ID, "why", reason, "tasks", len(m.Attempts))
		m.Releasing = true
	}
}

// releaseReason reports whether a machine is to be released that may hold tasks or has never
// been up, and why. lost are the machines that the failure detector gives up.
func (as *Autoscaler) releaseReason(m *cluster.Machine, lost map[string]bool, now units.Micros) (releaseReason, bool) {
	switch {
	case m.Registered && m.Quarantined && len(m.Attempts) == 0:
		return releaseQuarantined, true
	case as.bootTimedOut(m, now):
		return releaseBootTimeout, true
	case as.neverRegistered(m, now):
		return releaseLost, true
	case lost[m.ID]:
		// Waiting for its lease would take longer, and what is known to
		// be gone can start elsewhere.
		return releaseLost, true
	}
	return "", false
}

// bootTimedOut reports whether a machine should have come up long ago.
func (as *Autoscaler) bootTimedOut(m *cluster.Machine, now units.Micros) bool {
	return !m.Registered && m.Stage != protocol.MachineRunning &&
		now-m.LaunchedAt > bootTimeoutFactor*as.bootTime(m)+bootTimeoutMargin &&
		now-as.ElectedAt > bootTimeoutElected
}

// neverRegistered reports whether a machine runs, as the cloud says, but has sent this leader
// no heartbeat for so long that it is given up: its zone may have been cut off, for a while.
func (as *Autoscaler) neverRegistered(m *cluster.Machine, now units.Micros) bool {
	return !m.Registered &&
		now-max(as.ElectedAt, m.LaunchedAt) > election.WithDrift(as.Settings.Fleet.Workers.LeaseDuration(), failuredetector.ZonePartitionGrace)
}
