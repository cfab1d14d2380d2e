package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// A new replica, or the replacement of one that was lost with its machine, is to run within
// seconds. In a full fleet, tasks would have to be preempted first. If there are urgent
// services, the scheduler therefore reserves headroom for replicas in each zone: free capacity
// that is a small part of the fleet's.

const (
	headroomReplicasPerZone = 2 // maximum number of replicas per zone to reserve capacity for
	// headroomFleetDivisor limits the headroom to 1/headroomFleetDivisor of the fleet's CPUs.
	headroomFleetDivisor = 32
	// headroomServiceDivisor is the number of existing replicas for which the fleet is scaled
	// out by capacity for one more.
	headroomServiceDivisor = 3
)

// reserveHeadroom returns the indexes in machines of those on which capacity for one more
// replica is to be reserved. In each zone it prefers machines on which a replica fits already,
// then machines that were chosen before, then machines that hold the image, then the largest,
// where capacity becomes free soonest. Machines of an instance type that a waiting task needs
// nearly whole come last. replica is the service with the largest replicas; if it is nil,
// nothing is reserved.
func reserveHeadroom(machines []MachineView, jobs []JobView, replica *protocol.JobSpec, chosenBefore func(machine int) bool) []int {
	if replica == nil {
		return nil
	}
	neededWhole := instanceTypesNeededWhole(machines, jobs, replica)
	byZone, fleetCPU := headroomCandidates(machines, replica)
	perZone := headroomReplicasPerZone
	if bound := replica.Request.CPU * headroomFleetDivisor * units.Amount(len(byZone)); bound > 0 {
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

// instanceTypesNeededWhole returns the instance types on which the task of some waiting job
// fits, but not together with a replica.
func instanceTypesNeededWhole(machines []MachineView, jobs []JobView, replica *protocol.JobSpec) map[string]bool {
	neededWhole := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if _, seen := neededWhole[m.InstanceType]; seen {
			continue
		}
		capacityWithoutReplica := m.Capacity.Plus(replica.Request, -1)
		neededWhole[m.InstanceType] = slices.ContainsFunc(jobs, func(job JobView) bool {
			return m.Capacity.CountFitting(job.Spec.Request) > 0 && capacityWithoutReplica.CountFitting(job.Spec.Request) == 0
		})
	}
	return neededWhole
}

// headroomCandidates returns the indexes of the machines on which capacity for a replica may
// be reserved, by zone, and the total CPUs of all schedulable machines.
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

// HeadroomReplica returns the urgent service with the largest resource request per replica:
// most CPUs, then most memory. It returns nil if there is no urgent service.
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

// HeadroomReplicaCount returns the number of additional replicas, each of the size of replica,
// that the fleet is to have capacity for. It is enough for a new service in each zone and for
// the simultaneous loss of several machines, since a machine that is scaled out has to boot
// first.
func (sc *Scheduler) HeadroomReplicaCount(replica *protocol.JobSpec) int {
	var servicesCPU units.Amount
	for _, job := range sc.State.Jobs {
		if job.IsService() && !job.Cancelled {
			servicesCPU += job.Spec.Request.CPU * units.Amount(job.Spec.Tasks)
		}
	}
	count := headroomReplicasPerZone * len(sc.Settings.Fleet.Zones)
	if replica.Request.CPU > 0 {
		count = max(count, int(servicesCPU/replica.Request.CPU/headroomServiceDivisor))
	}
	return count
}

// updateHeadroom reserves the headroom on the machines of a snapshot and records it in
// sc.headroom. machines holds the machines of the state by their index in the snapshot.
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
