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
// seconds. In a full fleet capacity for it would first have to be made, by stopping
// something. So where there are urgent services, some free capacity is reserved for
// replicas in each zone: little next to the fleet.

const (
	headroomReplicasPerZone = 2 // replicas in each zone that capacity is reserved for
	// headroomFleetShare bounds the headroom to one processor in so many of the fleet.
	headroomFleetShare = 32
	// headroomServiceShare: the fleet as a whole is scaled out for one replica more in so
	// many that there are.
	headroomServiceShare = 3
)

// reserveHeadroom chooses the machines on which capacity for one more replica is reserved,
// by their places in machines: in each zone those that have it free already, else
// those where it becomes free soonest, among them the ones that were chosen before. Instance
// types of which a waiting task needs nearly a whole machine are left to such tasks, where
// there are others. replica is a service whose replicas are as large as any; nil reserves
// nothing.
func reserveHeadroom(machines []MachineView, jobs []JobView, replica *protocol.JobSpec, chosenBefore func(machine int) bool) []int {
	if replica == nil {
		return nil
	}
	neededWhole := instanceTypesNeededWhole(machines, jobs, replica)
	byZone, fleetCPU := headroomCandidates(machines, replica)
	perZone := headroomReplicasPerZone
	if bound := replica.Request.CPU * headroomFleetShare * units.Amount(len(byZone)); bound > 0 {
		perZone = int(min(units.Amount(perZone), fleetCPU/bound))
	}
	var chosen []int
	for _, zone := range sorted.Keys(byZone) {
		candidates := byZone[zone]
		slices.SortStableFunc(candidates, func(a, b int) int {
			x, y := &machines[a], &machines[b]
			return cmp.Or(
				compareBools(neededWhole[x.InstanceType], neededWhole[y.InstanceType]),
				-compareBools(x.Free.CountFitting(replica.Request) > 0, y.Free.CountFitting(replica.Request) > 0),
				-compareBools(chosenBefore(a), chosenBefore(b)),
				-compareBools(x.HasImage(replica.Image), y.HasImage(replica.Image)),
				-cmp.Compare(x.Capacity.CPU, y.Capacity.CPU))
		})
		chosen = append(chosen, candidates[:min(perZone, len(candidates))]...)
	}
	return chosen
}

// instanceTypesNeededWhole returns the instance types of which some waiting task needs so much
// of a machine that a replica does not fit beside it.
func instanceTypesNeededWhole(machines []MachineView, jobs []JobView, replica *protocol.JobSpec) map[string]bool {
	neededWhole := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if _, seen := neededWhole[m.InstanceType]; seen {
			continue
		}
		besideReplica := m.Capacity.Plus(replica.Request, -1)
		neededWhole[m.InstanceType] = slices.ContainsFunc(jobs, func(job JobView) bool {
			return m.Capacity.CountFitting(job.Spec.Request) > 0 && besideReplica.CountFitting(job.Spec.Request) == 0
		})
	}
	return neededWhole
}

// headroomCandidates returns by zone the machines on which capacity for a replica may be
// reserved, and the processors of all machines that may be given work.
func headroomCandidates(machines []MachineView, replica *protocol.JobSpec) (byZone map[string][]int, fleetCPU units.Amount) {
	byZone = map[string][]int{}
	for i := range machines {
		m := &machines[i]
		if !m.Schedulable {
			continue
		}
		fleetCPU += m.Capacity.CPU
		if !m.Slow && m.Capacity.CountFitting(replica.Request) > 0 && PlacementAllowed(replica, m.InstanceType, m.Zone, m.Spot) {
			byZone[m.Zone] = append(byZone[m.Zone], i)
		}
	}
	return byZone, fleetCPU
}

// HeadroomReplica returns the urgent service whose replicas request most, nil if there is
// none.
func (sc *Scheduler) HeadroomReplica() *protocol.JobSpec {
	var largest *protocol.JobSpec
	for _, job := range sc.State.Jobs {
		spec := &job.Spec
		if !job.IsService() || job.Cancelled || spec.Priority < protocol.High {
			continue
		}
		if largest == nil || cmp.Or(
			cmp.Compare(spec.Request.CPU, largest.Request.CPU),
			cmp.Compare(spec.Request.Memory, largest.Request.Memory),
			-cmp.Compare(spec.ID, largest.ID)) > 0 {
			largest = spec
		}
	}
	return largest
}

// HeadroomReplicaCount returns how many replicas more than there are the fleet is to have
// capacity for: enough in each zone for a new service, and for the loss of some machines
// together, since scaling out takes a boot.
func (sc *Scheduler) HeadroomReplicaCount(replica *protocol.JobSpec) int {
	var servicesCPU units.Amount
	for _, job := range sc.State.Jobs {
		if job.IsService() && !job.Cancelled {
			servicesCPU += job.Spec.Request.CPU * units.Amount(job.Spec.Tasks)
		}
	}
	count := headroomReplicasPerZone * len(sc.Settings.Fleet.Zones)
	if replica.Request.CPU > 0 {
		count = max(count, int(servicesCPU/replica.Request.CPU/headroomServiceShare))
	}
	return count
}

// updateHeadroom reserves the headroom on the machines of a snapshot. machines are the same
// ones in the state.
func (sc *Scheduler) updateHeadroom(snapshot *Snapshot, machines []*cluster.Machine) {
	replica := sc.HeadroomReplica()
	chosen := reserveHeadroom(snapshot.Machines, snapshot.Jobs, replica, func(machine int) bool {
		return sc.headroom[machines[machine]] != units.Resources{}
	})
	clear(sc.headroom)
	for _, i := range chosen {
		snapshot.Machines[i].Headroom = replica.Request
		sc.headroom[machines[i]] = replica.Request
	}
}
