package autoscaler

import (
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// maxWait is the time after which no task may still wait if a machine for it has room or can be
// rented.
const maxWait = 90 * units.Second

// service returns the specification of a service of replicas with the given number of CPUs, which
// may run on ordinary machines only. It is not urgent, so no headroom is kept for it.
func service(id string, replicas, cpus int) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Tasks: replicas, Request: fake.CPUs(cpus), Kind: protocol.Service, Priority: protocol.Normal}
}

// A replica whose machine is gone was never replaced if its zone had no other machine and the other
// zones had their share of the replicas: the autoscaler counted on the room there.
func TestLostReplicaOfSpreadServiceIsReplaced(t *testing.T) {
	small := Offering{"small", "b", false}
	f := newSimulatedFleet(t, 100, map[Offering]int{small: 1})
	f.addMachine(Offering{"large", "a", false})
	cheap := f.addMachine(Offering{"small", "b", true})
	spec := service("j-000001", 2, 2)
	spec.ZoneSpread, spec.AllowSpot, spec.Priority = true, true, protocol.Production
	job := f.submit(spec, 0)
	f.runUntil(maxWait, "both replicas run", func() bool { return f.running(job) == 2 })
	f.remove(f.as.State.Machines[cheap])
	f.runUntil(maxWait, "both replicas run again", func() bool { return f.running(job) == 2 })
	f.run(5 * maxWait)
	if zones := f.runningByZone(job); zones["a"] != 1 || zones["b"] != 1 || f.rented != 1 {
		t.Errorf("replicas by zone %v, %d machines rented, want 1 in each and 1", zones, f.rented)
	}
}

// A machine that the cloud took without notice was counted as capacity for good if the fleet was too
// small to tell its loss from a partition, so its replica was not replaced either.
func TestReplicaOfSilentMachineIsReplaced(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "b", false}: 1})
	f.addMachine(Offering{"large", "a", false})
	silent := f.addMachine(Offering{"small", "b", false})
	spec := service("j-000001", 2, 2)
	spec.ZoneSpread = true
	job := f.submit(spec, 0)
	f.runUntil(maxWait, "both replicas run", func() bool { return f.running(job) == 2 })
	f.lost[silent] = true
	f.runUntil(maxWait, "both replicas run again", func() bool { return f.running(job) == 2 })
	f.run(5 * maxWait)
	if f.rented != 1 {
		t.Errorf("%d machines rented, want 1", f.rented)
	}
}

// A task that fits on no single machine waited for ever if the free capacity of the machines together
// was enough and was held by services.
func TestMachineIsRentedWhenFreeCapacityIsSplit(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 3})
	for range 2 {
		f.addMachine(Offering{"small", "a", false})
	}
	f.submit(service("j-000001", 2, 3), 0)
	f.run(5 * units.Second)
	waiting := f.submit(protocol.JobSpec{ID: "j-000002", Tasks: 1, Request: fake.CPUs(2)}, maxWait)
	f.runUntil(maxWait, "the task runs", func() bool { return f.running(waiting) == 1 })
	if f.rented != 1 {
		t.Errorf("%d machines rented, want 1", f.rented)
	}
}

// A machine that hears no response of a new leader counts as room for nothing: it gets no starts.
func TestDeafMachineIsNoRoom(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 1})
	f.deaf[f.addMachine(Offering{"small", "a", false})] = true
	job := f.submit(service("j-000001", 1, 4), 0)
	f.runUntil(2*maxWait, "the replica runs", func() bool { return f.running(job) == 1 })
	f.run(maxWait)
	if f.rented != 1 {
		t.Errorf("%d machines rented, want 1", f.rented)
	}
}

// A task for which the cloud has no machine took the team's quota from a job that could have had one.
func TestTaskThatNoOfferingSuitsTakesNoQuota(t *testing.T) {
	f := newSimulatedFleet(t, 6, map[Offering]int{{"small", "b", false}: 1})
	spec := service("j-000001", 1, 4)
	spec.Zone = "a"
	f.submit(spec, 0)
	other := f.submit(service("j-000002", 1, 4), 0)
	f.runUntil(maxWait, "the other service runs", func() bool { return f.running(other) == 1 })
}

// An idle machine that the demand needed was returned, and rented again at once, if the plan without
// it ordered as many machines, of a larger type that the cloud did not have.
func TestReturnedMachineIsNotRentedAgain(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "b", false}: 2})
	f.addMachine(Offering{"large", "a", false})
	spec := service("j-000001", 1, 4)
	spec.Zone, spec.Priority = "b", protocol.Production
	job := f.submit(spec, 0) // it also needs headroom in its zone
	f.run(5 * maxWait)
	if f.running(job) != 1 || f.rented != 2 {
		t.Errorf("%d replicas run, %d machines rented, want 1 and 2", f.running(job), f.rented)
	}
}

// A new leader reads the list of machines before their first heartbeats. It must not rent the fleet
// once more.
func TestNewLeaderRentsNothingForMachinesThatRun(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 8})
	for range 4 {
		f.addMachine(Offering{"small", "a", false})
	}
	f.clock.Now += 1000 * units.Second
	f.elect(8, f.as.Settings)
	for number := range 4 {
		m := f.as.State.EnsureMachine(machineID(number), "small", "a", false, f.clock.Now)
		m.LaunchedAt, m.Stage = f.clock.Now-1000*units.Second, protocol.MachineRunning
		f.bootedAt[m.ID] = f.clock.Now + 3*units.Second // within Detector.LeaderSearchTime
	}
	job := f.submit(service("j-000001", 4, 4), 0)
	f.run(maxWait)
	if f.running(job) != 4 || f.rented != 0 {
		t.Errorf("%d replicas run, %d machines rented", f.running(job), f.rented)
	}
}

// The tasks of a job with zone affinity have to go to the zone of those that run, so capacity in
// another zone is of no use to them.
func TestMachineIsRentedInTheZoneOfTheJob(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 3, {"small", "b", false}: 3})
	f.addMachine(Offering{"small", "a", false})
	spec := service("j-000001", 3, 2)
	spec.ZoneAffinity = true
	job := f.submit(spec, 0)
	f.step()
	f.addMachine(Offering{"large", "b", false})
	f.runUntil(maxWait, "all replicas run", func() bool { return f.running(job) == 3 })
	f.run(maxWait)
	if zones := f.runningByZone(job); zones["a"] != 3 {
		t.Errorf("replicas by zone: %v", zones)
	}
}

// A machine that has been silent for its lease counts as room for nothing, also while it is kept
// because its zone may be partitioned.
func TestTasksOfAPartitionedZoneGetRoomElsewhere(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "b", false}: 4})
	job := f.submit(service("j-000001", 4, 4), 0)
	var machines []string
	for range 4 {
		machines = append(machines, f.addMachine(Offering{"small", "a", false}))
	}
	f.runUntil(maxWait, "all replicas run", func() bool { return f.running(job) == 4 })
	for _, id := range machines {
		f.lost[id] = true
	}
	f.runUntil(maxWait, "all replicas run elsewhere", func() bool { return f.running(job) == 4 })
	if f.rented != 4 {
		t.Errorf("%d machines rented, want 4", f.rented)
	}
}
