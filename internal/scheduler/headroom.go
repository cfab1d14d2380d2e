package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
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
	for _, zone := range sorted.Keys(byZone) {
		list := byZone[zone]
		slices.SortStableFunc(list, func(a, b int) int {
			x, y := &machines[a], &machines[b]
			return cmp.Or(
				compareBools(needed[x.InstanceType], needed[y.InstanceType]),
				-compareBools(x.Free.Fits(like.Request) > 0, y.Free.Fits(like.Request) > 0),
				-compareBools(before(a), before(b)),
				-compareBools(x.HasImage(like.Image), y.HasImage(like.Image)),
				-cmp.Compare(x.Capacity.CPU, y.Capacity.CPU))
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
		if _, seen := needed[m.InstanceType]; seen {
			continue
		}
		rest := m.Capacity.Plus(like.Request, -1)
		needed[m.InstanceType] = slices.ContainsFunc(jobs, func(j JobView) bool {
			return m.Capacity.Fits(j.Spec.Request) > 0 && rest.Fits(j.Spec.Request) == 0
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
		if !m.Schedulable {
			continue
		}
		fleet += m.Capacity.CPU
		if !m.Slow && m.Capacity.Fits(like.Request) > 0 && PlacementAllowed(like, m.InstanceType, m.Zone, m.Spot) {
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

// HeadroomReplica gives the urgent service whose replicas take most, nil if there is
// none.
func (sc *Scheduler) HeadroomReplica() *protocol.JobSpec {
	var like *protocol.JobSpec
	for _, j := range sc.State.Jobs {
		s := &j.Spec
		if j.IsService() && !j.Cancelled && s.Priority >= protocol.High && (like == nil ||
			cmp.Or(cmp.Compare(s.Request.CPU, like.Request.CPU), cmp.Compare(s.Request.Memory, like.Request.Memory), -cmp.Compare(s.ID, like.ID)) > 0) {
			like = s
		}
	}
	return like
}

// HeadroomReplicaCount is how many replicas more than there are the fleet is to have room
// for: enough in each zone for a new service, and for the loss of some machines
// together, since renting others takes a boot.
func (sc *Scheduler) HeadroomReplicaCount(like *protocol.JobSpec) int {
	var used units.Amount
	for _, j := range sc.State.Jobs {
		if j.IsService() && !j.Cancelled {
			used += j.Spec.Request.CPU * units.Amount(j.Spec.Tasks)
		}
	}
	n := headroomPerZone * len(sc.Settings.Fleet.Zones)
	if like.Request.CPU > 0 {
		n = max(n, int(used/like.Request.CPU/headroomServiceShare))
	}
	return n
}

// updateHeadroom notes on the machines of a snapshot what room is kept on them.
func (sc *Scheduler) updateHeadroom(s *Snapshot, machines []*cluster.Machine) {
	like := sc.HeadroomReplica()
	kept := reserveHeadroom(s.Machines, s.Jobs, like, func(k int) bool { return sc.headroom[machines[k]] != units.Resources{} })
	clear(sc.headroom)
	for _, k := range kept {
		s.Machines[k].Headroom = like.Request
		sc.headroom[machines[k]] = like.Request
	}
}
