package autoscaler

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The machine list is read page by page. For a large fleet the interval is longer, so that the
// list leaves most of the cloud's request rate limit to scale-out and scale-in requests.
const (
	minListInterval = 2 * units.Second
	listRateShare   = 0.3 // maximum share of the cloud's request rate limit
)

// A machine that never registered and is missing from the list counts as gone unlistedLagFactor
// list lags plus unlistedMargin after its launch. The list may lag behind by ListLagS; the
// factor and the margin allow for a longer lag.
const (
	unlistedLagFactor = 4 // multiple of the list's lag
	unlistedMargin    = 20 * units.Second
)

// listInterval returns the time between two reads of the machine list.
func listInterval(cloud config.CloudLimits, machines int) units.Micros {
	pages := 1 + machines/protocol.MaxListPage
	paced := units.Seconds(float64(pages) / (cloud.RPS * listRateShare))
	return max(minListInterval, units.Seconds(cloud.ListLagS)/2, paced)
}

// refreshMachineList reads the cloud's machine list and applies it to the state.
func (as *Autoscaler) refreshMachineList(ctx context.Context) {
	listed, err := as.Cloud.ListMachines(ctx)
	if err != nil {
		as.Log.Debug("failed to read the machine list", "error", err)
		return
	}
	as.State.Lock()
	defer as.State.Unlock()
	now := as.Clock.Steady()
	as.provisioning.listReadAt, as.provisioning.listedMachines = now, len(listed)
	present := make(map[string]bool, len(listed))
	for i := range listed {
		present[listed[i].ID] = true
		if !as.State.Released.Has(listed[i].ID) {
			as.applyListed(&listed[i], now)
		}
	}
	as.removeUnlisted(present, now)
}

// applyListed applies an entry of the machine list to the state.
func (as *Autoscaler) applyListed(listed *protocol.ListedMachine, now units.Micros) {
	_, known := as.State.Machines[listed.ID]
	m := as.State.EnsureMachine(listed.ID, listed.InstanceType, listed.Zone, listed.Spot, now)
	if !known {
		m.LaunchedAt = now - units.Seconds(listed.AgeSeconds)
		as.Log.Debug("machine listed", "machine", listed.ID, "type", listed.InstanceType, "zone", listed.Zone, "stage", listed.Stage)
	}
	if !m.Registered {
		m.Stage, m.Endpoint = listed.Stage, listed.Endpoint
	}
	if listed.Stage == protocol.MachineFailed && !m.Releasing {
		as.machineFailed(m, now)
	}
}

// machineFailed removes the attempts of a machine that the cloud reports as failed, since
// nothing runs on it any more, and marks it for release, which removes it from the list.
func (as *Autoscaler) machineFailed(m *cluster.Machine, now units.Micros) {
	as.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
	as.State.RemoveAttempts(m, now)
	as.State.MachineGone(m.ID)
	m.Releasing = true
	as.CycleSignal.Raise()
}

// removeUnlisted removes machines that the cloud terminated, or that were deleted, before they
// registered. For a machine that may hold tasks, its absence from the list is no proof that it is
// gone; only the expiry of its lease is.
func (as *Autoscaler) removeUnlisted(present map[string]bool, now units.Micros) {
	unlistedAfter := unlistedLagFactor*units.Seconds(as.Settings.Fleet.Cloud.ListLagS) + unlistedMargin
	for _, m := range as.State.Machines {
		mayHoldTasks := as.State.Unreconciled.Contains(m.ID) || as.State.HoldsCancelled(m.ID)
		if !m.Registered && !present[m.ID] && now-m.LaunchedAt > unlistedAfter && !mayHoldTasks {
			as.removeMachine(m, now)
		}
	}
}

// removeMachine removes a machine that is gone and ends the backoff of its offering, since the
// cloud may have capacity for a replacement now. When many machines were lost at once, waiting
// for the backoff left the fleet without a quarter of its machines for half a minute.
func (as *Autoscaler) removeMachine(m *cluster.Machine, now units.Micros) {
	as.State.RemoveMachine(m, now)
	delete(as.provisioning.unavailable, offeringOf(m))
}
