package coordination

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A replica that is lost with its machine, or that is new, is to be up within
// seconds. In a full fleet room for it would first have to be made, by stopping
// something. So where there are urgent services, some room is kept free for
// replicas in each zone: little next to the fleet.

const (
	headroomPerZone    = 2  // in each zone
	headroomFleetShare = 32 // of the fleet at most
	// In the fleet as a whole room is rented for one replica more in so many that
	// there are.
	headroomServiceShare = 3
)

// reserveHeadroom chooses the machines on which room for one more replica like a given
// one is kept from everything else: in each zone those that have it already, else
// those where it comes soonest, among them the ones that were chosen before. Types
// of which a waiting task needs nearly a whole machine are left to such tasks, where
// there are others.
func reserveHeadroom(machines []MachineView, jobs []JobView, like *protocol.JobSpec, before func(k int) bool) []int {
	if like == nil {
		return nil
	}
	needed := typesNeededWhole(machines, jobs, like)
	byZone, fleet := headroomCandidates(machines, like)
	each := headroomPerZone
	if all := like.Request.CPU * headroomFleetShare * units.Amount(len(byZone)); all > 0 {
		each = int(min(units.Amount(each), fleet/all))
	}
	var out []int
	for _, zone := range sortedKeys(byZone) {
		list := byZone[zone]
		slices.SortStableFunc(list, func(a, b int) int {
			x, y := &machines[a], &machines[b]
			return cmp.Or(
				compareBools(needed[x.Type], needed[y.Type]),
				-compareBools(x.Free.Fits(like.Request) > 0, y.Free.Fits(like.Request) > 0),
				-compareBools(before(a), before(b)),
				-compareBools(x.Images(like.Image), y.Images(like.Image)),
				-cmp.Compare(x.Size.CPU, y.Size.CPU))
		})
		out = append(out, list[:min(each, len(list))]...)
	}
	return out
}

// typesNeededWhole gives the types of which some waiting task needs so much of a machine
// that a replica does not fit beside it.
func typesNeededWhole(machines []MachineView, jobs []JobView, like *protocol.JobSpec) map[string]bool {
	needed := map[string]bool{}
	for k := range machines {
		m := &machines[k]
		if _, seen := needed[m.Type]; seen {
			continue
		}
		rest := m.Size.Plus(like.Request, -1)
		needed[m.Type] = slices.ContainsFunc(jobs, func(j JobView) bool {
			return m.Size.Fits(j.Spec.Request) > 0 && rest.Fits(j.Spec.Request) == 0
		})
	}
	return needed
}

// headroomCandidates gives by zone the machines on which room for a replica may be kept,
// and the processors of all machines that may be given work.
func headroomCandidates(machines []MachineView, like *protocol.JobSpec) (byZone map[string][]int, fleet units.Amount) {
	byZone = map[string][]int{}
	for k := range machines {
		m := &machines[k]
		if !m.Accepts {
			continue
		}
		fleet += m.Size.CPU
		if !m.Slow && m.Size.Fits(like.Request) > 0 && allowed(like, m.Type, m.Zone, m.Spot) {
			byZone[m.Zone] = append(byZone[m.Zone], k)
		}
	}
	return byZone, fleet
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// headroomReplica gives the urgent service whose replicas take most, nil if there is
// none.
func (t *Term) headroomReplica() *protocol.JobSpec {
	var like *protocol.JobSpec
	for _, j := range t.ledger.Jobs {
		s := &j.Spec
		if j.IsService() && !j.Cancelled && s.Priority >= protocol.High && (like == nil ||
			cmp.Or(cmp.Compare(s.Request.CPU, like.Request.CPU), cmp.Compare(s.Request.Memory, like.Request.Memory), -cmp.Compare(s.ID, like.ID)) > 0) {
			like = s
		}
	}
	return like
}

// headroomReplicas is how many replicas more than there are the fleet is to have room
// for: enough in each zone for a new service, and for the loss of some machines
// together, since renting others takes a boot.
func (t *Term) headroomReplicas(like *protocol.JobSpec) int {
	var used units.Amount
	for _, j := range t.ledger.Jobs {
		if j.IsService() && !j.Cancelled {
			used += j.Spec.Request.CPU * units.Amount(j.Spec.Tasks)
		}
	}
	n := headroomPerZone * len(t.Settings.Fleet.Zones)
	if like.Request.CPU > 0 {
		n = max(n, int(used/like.Request.CPU/headroomServiceShare))
	}
	return n
}

// updateHeadroom notes on the machines of a snapshot what room is kept on them.
func (t *Term) updateHeadroom(s *Snapshot, machines []*cluster.Machine) {
	like := t.headroomReplica()
	kept := reserveHeadroom(s.Machines, s.Jobs, like, func(k int) bool { return t.headroom[machines[k]] != units.Resources{} })
	clear(t.headroom)
	for _, k := range kept {
		s.Machines[k].Headroom = like.Request
		t.headroom[machines[k]] = like.Request
	}
}
