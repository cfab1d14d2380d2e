package autoscaler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// maxIdleCandidates limits the machines that one call of IdleMachines considers, since it compares
// the demand with the capacity for each of them.
const maxIdleCandidates = 50

// IdleMachines returns the machines that have been idle for longer than the policy's idle
// timeout, that no waiting task is going to use, and without which the fleet still covers the
// demand and the reserve. The most expensive machines come first.
func (as *Autoscaler) IdleMachines(now units.Micros) []*cluster.Machine {
	in := as.PolicyInput()
	candidates := as.idleCandidates(as.Policy.IdleTimeout(in), now)
	if len(candidates) == 0 {
		return nil
	}
	keepCPU := max(units.AmountOf(in.DemandCPUs), as.Policy.ReserveCPUs(in))
	fleetCPU := units.AmountOf(in.FleetCPUs)
	// The remaining machines must be of offerings that the tasks allow, as well as have enough
	// CPUs: services may not be allowed on the cheapest offerings.
	view := as.capacityView(in)
	unmet := unmetTaskCount(&view)
	claimed := as.checkRoom(now).Claimed
	idle := candidates[:0]
	for _, m := range candidates[:min(len(candidates), maxIdleCandidates)] {
		if fleetCPU-m.Capacity.CPU < keepCPU || claimed[m.ID] {
			continue
		}
		offering := offeringOf(m)
		if view.Machines[offering]--; unmetTaskCount(&view) > unmet {
			view.Machines[offering]++
			continue
		}
		fleetCPU -= m.Capacity.CPU
		idle = append(idle, m)
	}
	return idle
}

// idleCandidates returns the reconciled machines that have been idle for longer than longerThan
// under this leader, the most expensive first.
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
