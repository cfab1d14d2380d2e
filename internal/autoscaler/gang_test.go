package autoscaler

import (
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A gang whose tasks have to be in one zone was tried only in the zone of the machine with the most
// free capacity, and never started if that zone had too little room for all of them.
func TestGangIsPlacedInTheZoneThatHasRoom(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{})
	f.addMachine(Offering{"large", "a", false})
	f.submit(service("j-000001", 1, 20), 0)
	f.run(5 * units.Second)
	for range 4 {
		f.addMachine(Offering{"small", "b", false})
	}
	gang := protocol.JobSpec{ID: "j-000002", Tasks: 4, Request: fake.CPUs(4), Kind: protocol.Gang, ZoneAffinity: true}
	job := f.submit(gang, 5*units.Second)
	f.runUntil(maxWait, "the gang is done", job.Complete)
}

// The machines for a gang that fits nowhere are rented once. In addition the total demand exceeds the
// fleet by one machine, which is ordered before the gang has waited.
func TestMachinesAreRentedOnceForGang(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "b", false}: 50})
	f.addMachine(Offering{"large", "a", false})
	f.submit(service("j-000001", 1, 20), 0)
	f.run(5 * units.Second)
	gang := protocol.JobSpec{ID: "j-000002", Tasks: 4, Request: fake.CPUs(4), Kind: protocol.Gang, ZoneAffinity: true}
	job := f.submit(gang, 300*units.Second)
	f.runUntil(maxWait, "the gang runs", func() bool { return f.running(job) == 4 })
	f.run(maxWait)
	if f.rented != gang.Tasks+1 {
		t.Errorf("%d machines rented, want %d", f.rented, gang.Tasks+1)
	}
}
