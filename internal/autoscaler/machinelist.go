package autoscaler

import (
	"context"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The pace of the machine list. It is read page by page, and the list of a large fleet
// must leave the cloud's rate of requests to rents and releases.
const (
	minListInterval = 2 * units.Second
	listRateShare   = 0.3
)

// listInterval is how often the machine list is read.
func listInterval(cloud config.Cloud, machines int) units.Micros {
	pages := 1 + machines/protocol.MaxListPage
	paced := units.Seconds(float64(pages) / (cloud.RPS * listRateShare))
	return max(minListInterval, units.Seconds(cloud.ListLagS)/2, paced)
}

// refreshMachineList takes in which machines the cloud lists.
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
	for _, l := range listed {
		present[l.ID] = true
		if as.State.Released.Has(l.ID) {
			continue
		}
		_, known := as.State.Machines[l.ID]
		m := as.State.EnsureMachine(l.ID, l.InstanceType, l.Zone, l.Spot, now)
		if !known {
			m.RentedAt = now - units.Seconds(l.AgeSeconds)
			as.Log.Debug("machine listed", "machine", l.ID, "type", l.InstanceType, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Registered {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// release only takes it off the list.
			as.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			as.State.MachineEmptied(m, now)
			as.State.MarkReconciled(m.ID)
			m.Releasing = true
			as.CycleSignal.Raise()
		}
	}
	lag := units.Seconds(as.Settings.Fleet.Cloud.ListLagS)
	for _, m := range as.State.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Registered && !present[m.ID] && now-m.RentedAt > 4*lag+20*units.Second && !as.State.IsUnreconciled(m.ID) {
			as.removeMachine(m, now)
		}
	}
}
