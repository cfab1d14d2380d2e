package scheduler

import (
	"fmt"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// headroomFleet returns forty machines in two zones, half of them spot instances. A replica
// fits on i-000004 and i-000009, and i-000007 holds the image.
func headroomFleet() []MachineView {
	var machines []MachineView
	for i := range 40 {
		m := MachineView{
			ID:           fmt.Sprintf("i-%06d", i),
			InstanceType: "m",
			Zone:         []string{"a", "b"}[i%2],
			Spot:         i >= 20,
			Schedulable:  true,
			Capacity:     fake.CPUs(8),
			Free:         fake.CPUs(1),
			HasImage:     func(string) bool { return i == 7 },
		}
		if i == 4 || i == 9 {
			m.Free = fake.CPUs(2)
		}
		machines = append(machines, m)
	}
	return machines
}

// headroomReplica returns the specification of a replica of two CPUs that may not run on
// spot instances.
func headroomReplica() *protocol.JobSpec {
	replica := fake.JobSpec("j-000001")
	replica.AllowSpot, replica.Request = false, fake.CPUs(2)
	return replica
}

// Capacity for replicas is reserved in each allowed zone, within a small part of the fleet. It
// stays on machines that were chosen before if a replica does not fit yet.
func TestHeadroomIsReservedForReplicas(t *testing.T) {
	machines, replica := headroomFleet(), headroomReplica()
	never := func(int) bool { return false }
	t.Run("in each zone", func(t *testing.T) {
		if got := reserveHeadroom(machines, nil, replica, func(i int) bool { return i == 11 }); fmt.Sprint(got) != "[4 0 9 11]" {
			t.Errorf("reserved on %v, want two machines in each zone", got)
		}
	})
	t.Run("not in a small fleet", func(t *testing.T) {
		if got := reserveHeadroom(machines[:6], nil, replica, never); len(got) != 0 {
			t.Errorf("reserved on %v of a small fleet, want none", got)
		}
	})
	t.Run("not without a service", func(t *testing.T) {
		if got := reserveHeadroom(machines, nil, nil, func(int) bool { return true }); len(got) != 0 {
			t.Errorf("reserved on %v without a service", got)
		}
	})
	t.Run("not on machines that a task needs whole", func(t *testing.T) {
		machines, whole := headroomFleet(), fake.JobSpec("j-000003")
		whole.Request = fake.CPUs(8)
		for _, i := range []int{1, 3, 5} {
			machines[i].InstanceType, machines[i].Capacity = "large", fake.CPUs(16)
		}
		if got := reserveHeadroom(machines, []JobView{{Spec: whole}}, replica, never); fmt.Sprint(got) != "[4 0 1 3]" {
			t.Errorf("reserved on %v, where a task needs a whole machine", got)
		}
	})
}

// Only replicas and starved jobs are placed on the headroom.
func TestHeadroomIsUsedByReplicasAndStarvedJobs(t *testing.T) {
	machine, replica := headroomFleet()[4], headroomReplica()
	machine.Headroom = replica.Request
	array, service := fake.JobSpec("j-000002"), *replica
	array.Request, service.Kind = fake.CPUs(2), protocol.Service
	for _, c := range []struct {
		name    string
		spec    *protocol.JobSpec
		starved bool
		want    int
	}{
		{"array", array, false, 0},
		{"starved array", array, true, 1},
		{"service", &service, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{
				Teams:         []TeamView{{QuotaLimit: fake.CPUs(100)}},
				Machines:      []MachineView{machine},
				MaxPlacements: 10,
				Jobs: []JobView{{
					Spec:          c.spec,
					Starved:       c.starved,
					Pending:       1,
					LiveByZone:    map[string]int{},
					LiveByMachine: map[int]int{},
					Avoid:         func(string) bool { return false },
				}},
			}
			if got := len(Plan(&s).Placements); got != c.want {
				t.Errorf("%d placements of a job of kind %d, want %d", got, c.spec.Kind, c.want)
			}
		})
	}
}
