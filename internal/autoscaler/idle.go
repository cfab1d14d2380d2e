package autoscaler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// maxIdleCandidates bounds the machines that are considered in one go: for each of them a
// scale-out is planned.
const maxIdleCandidates = 50

// IdleMachines returns machines that nothing has needed for a while, the most expensive ones
// first, as long as what is left covers the demand and the reserve.
func (as *Autoscaler) IdleMachines(now units.Micros) []*cluster.Machine {
	in := as.PolicyInput()
	candidates := as.idleCandidates(as.Policy.IdleTimeout(in), now)
	keepCPU := max(units.AmountOf(in.DemandCPUs), as.Policy.ReserveCPUs(in))
	fleetCPU := units.AmountOf(in.FleetCPUs)
	// What is left must be of the right offerings: services may not be allowed on
	// those that are cheapest.
	view := as.capacityView(in)
	view.ReserveCPUs, view.Unavailable = 0, func(Offering) bool { return false }
	lacking := lackingMachines(&view)
	idle := candidates[:0]
	for _, m := range candidates[:min(len(candidates), maxIdleCandidates)] {
		if fleetCPU-m.Capacity.CPU < keepCPU {
			continue
		}
		offering := offeringOf(m)
		if view.Machines[offering]--; lackingMachines(&view) > lacking {
			view.Machines[offering]++
			continue
		}
		fleetCPU -= m.Capacity.CPU
		idle = append(idle, m)
	}
	return idle
}

// idleCandidates returns the machines that have been idle for longer than a time, the most
// expensive ones first.
func (as *Autoscaler) idleCandidates(longerThan, now units.Micros) []*cluster.Machine {
	var candidates []*cluster.Machine
	for _, m := range as.State.Machines {
		reconciled := m.Registered && m.FencingToken == as.Token
		idle := len(m.Attempts) == 0 && now-m.IdleSince > longerThan && now-as.ElectedAt > longerThan
		if reconciled && idle && !m.Releasing {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *cluster.Machine) int {
		return cmp.Or(-cmp.Compare(as.price(a), as.price(b)), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}

// lackingMachines returns how many machines the demand of a view lacks.
func lackingMachines(view *CapacityView) int {
	count := 0
	for _, order := range PlanScaleOut(view) {
		count += order.Count
	}
	return count
}
