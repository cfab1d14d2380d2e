package autoscaler

import (
	"sort"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

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
