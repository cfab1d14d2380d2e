package autoscaler

import (
	"context"
	"sort"

	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/failuredetector"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// removeMachine drops a machine that is gone. The cloud may have room for another of
// its kind now, whatever it said before: after a wave of losses, waiting for the
// refusal to pass once left a quarter of the fleet away for half a minute.
func (as *Autoscaler) removeMachine(m *cluster.Machine, now units.Micros) {
	as.State.RemoveMachine(m, now)
	delete(as.provisioning.unavailable, Offering{m.InstanceType, m.Zone, m.Spot})
}

// scaleIn returns machines that are faulty, lost, never came up, or
// are idle beyond what is to be kept.
func (as *Autoscaler) scaleIn(ctx context.Context) {
	as.State.Lock()
	names := as.MachinesToRelease(as.Clock.Steady())
	as.State.Unlock()
	for len(names) > 0 {
		n := min(len(names), protocol.MaxScaleIn)
		if err := as.Cloud.ScaleIn(ctx, names[:n]); err != nil {
			as.Log.Debug("machines not released", "machines", names[:n], "error", err)
			return
		}
		as.State.Lock()
		now := as.Clock.Steady()
		for _, id := range names[:n] {
			as.State.Released.Add(id, now)
			if m := as.State.Machines[id]; m != nil {
				as.removeMachine(m, now)
			} else {
				as.State.Unreconciled.Resolve(id)
			}
		}
		as.Log.Info("machines released", "machines", names[:n])
		as.State.Unlock()
		as.CycleSignal.Raise()
		names = names[n:]
	}
}

// MachinesToRelease chooses the machines to be released. A machine once chosen gets no
// work and stays chosen, since a release that got no answer may be carried
// out at any time.
func (as *Autoscaler) MachinesToRelease(now units.Micros) []string {
	chosen := map[string]bool{}
	mark := func(m *cluster.Machine, why string) {
		if !m.Releasing {
			as.Log.Info("machine is to be released", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
			m.Releasing = true
		}
	}
	silent := as.Detector.LostMachines(now)
	for _, id := range sorted.Keys(as.State.Machines) {
		m := as.State.Machines[id]
		boot := units.Seconds(as.State.InstanceTypes[m.InstanceType].BootS)
		switch {
		case m.Registered && m.Quarantined && len(m.Attempts) == 0:
			mark(m, "faulty")
		case !m.Registered && m.Stage != protocol.MachineRunning && now-m.RentedAt > bootTimeoutFactor*boot+30*units.Second && now-as.ElectedAt > 30*units.Second:
			mark(m, "never came up")
		case !m.Registered && now-max(as.ElectedAt, m.RentedAt) > election.WithDrift(as.Settings.Fleet.Workers.Lease(), failuredetector.ZoneCutGrace):
			// It runs, the cloud says, but has not been heard in this term: its
			// zone may be cut off, for a while.
			mark(m, "silent")
		case silent[id]:
			// Waiting for its lease would take longer, and what is known to
			// be gone can start elsewhere.
			mark(m, "silent")
		}
		if m.Releasing {
			chosen[id] = true
		}
	}
	for id := range silent {
		if as.State.Machines[id] == nil {
			chosen[id] = true
		}
	}
	for _, m := range as.IdleMachines(now) {
		mark(m, "idle")
		chosen[m.ID] = true
	}
	return sorted.Keys(chosen)
}

// IdleMachines chooses machines that nothing has needed for a while, the dearest
// first, as long as what is left covers the need and the reserve.
func (as *Autoscaler) IdleMachines(now units.Micros) []*cluster.Machine {
	in := as.PolicyInput()
	wait := as.Policy.IdleReturn(in)
	keep := max(units.AmountOf(in.DemandCPUs), as.Policy.ReserveCPUs(in))
	have := units.AmountOf(in.FleetCPUs)
	var out []*cluster.Machine
	for _, m := range as.State.Machines {
		if m.Registered && !m.Releasing && m.FencingToken == as.Token && len(m.Attempts) == 0 && now-m.IdleSince > wait && now-as.ElectedAt > wait {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if pa, pb := as.machinePrice(a), as.machinePrice(b); pa != pb {
			return pa > pb
		}
		return a.ID < b.ID
	})
	// What is left must be of the right kinds: services may not be allowed on
	// those that are cheapest.
	view := as.capacityView(in)
	view.ReserveCPUs, view.Unavailable = 0, func(Offering) bool { return false }
	lacking := func() int {
		count := 0
		for _, o := range PlanScaleOut(&view) {
			count += o.Count
		}
		return count
	}
	n, lacks := 0, lacking()
	for _, m := range out[:min(len(out), maxIdleCandidates)] {
		if have-m.Capacity.CPU < keep {
			continue
		}
		kind := Offering{m.InstanceType, m.Zone, m.Spot}
		if view.Machines[kind]--; lacking() > lacks {
			view.Machines[kind]++
			continue
		}
		have -= m.Capacity.CPU
		out[n] = m
		n++
	}
	return out[:n]
}

// maxIdleCandidates bounds the machines that are looked at in one go.
const maxIdleCandidates = 50

func (as *Autoscaler) machinePrice(m *cluster.Machine) float64 {
	typ := as.State.InstanceTypes[m.InstanceType]
	if m.Spot {
		return typ.SpotPrice
	}
	return typ.Price
}
