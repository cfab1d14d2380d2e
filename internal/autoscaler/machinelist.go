package autoscaler

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The pace of the machine list. It is read page by page, and the list of a large fleet
// must leave the cloud's rate of requests to scaling out and in.
const (
	minListInterval = 2 * units.Second
	listRateShare   = 0.3 // of the cloud's rate of requests
)

// When a machine that never registered counts as gone since the list does not name it: the list
// may be as old as the cloud's lag, several times over to be sure.
const (
	unlistedLagFactor = 4 // times the list's lag
	unlistedMargin    = 20 * units.Second
)

// listInterval returns how often the machine list is read.
func listInterval(cloud config.CloudLimits, machines int) units.Micros {
	pages := 1 + machines/protocol.MaxListPage
	paced := units.Seconds(float64(pages) / (cloud.RPS * listRateShare))
	return max(minListInterval, units.Seconds(cloud.ListLagS)/2, paced)
}

// refreshMachineList reads the cloud's machine list and applies it to the state.
func (as *Autoscaler) refreshMachineList(ctx context.Context) {
	listed, err := as.Cloud.ListMachines(ctx)
	if err != nil {
		as.Log.Debug("machines not listed", "error", err)
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

// machineFailed drops what was on a machine that has stopped on its own: nothing runs there
// any more. Its release only takes it off the list.
func (as *Autoscaler) machineFailed(m *cluster.Machine, now units.Micros) {
	as.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
	as.State.RemoveAttempts(m, now)
	as.State.Unreconciled.Resolve(m.ID)
	m.Releasing = true
	as.CycleSignal.Raise()
}

// removeUnlisted removes the machines that were reclaimed or deleted before they were up. That
// a machine is not listed proves nothing about one that may hold tasks: its lease decides.
func (as *Autoscaler) removeUnlisted(present map[string]bool, now units.Micros) {
	unlistedAfter := unlistedLagFactor*units.Seconds(as.Settings.Fleet.Cloud.ListLagS) + unlistedMargin
	for _, m := range as.State.Machines {
		if !m.Registered && !present[m.ID] && now-m.LaunchedAt > unlistedAfter && !as.State.Unreconciled.Contains(m.ID) {
			as.removeMachine(m, now)
		}
	}
}

// removeMachine drops a machine that is gone. The cloud may have capacity for another of
// its offering now, whatever it said before: after a wave of losses, waiting for the
// refusal to pass once left a quarter of the fleet away for half a minute.
func (as *Autoscaler) removeMachine(m *cluster.Machine, now units.Micros) {
	as.State.RemoveMachine(m, now)
	delete(as.provisioning.unavailable, offeringOf(m))
}
