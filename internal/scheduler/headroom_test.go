package scheduler

import (
	"fmt"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// Room for replicas is kept in each zone that may be used, little next to the
// fleet, on the machines that were chosen before where it still has to come, and
// nothing but replicas is planned there.
func TestHeadroomIsKeptForReplicas(t *testing.T) {
	like := arraySpec("j-000001")
	like.AllowSpot, like.Request = false, standin.CPUs(2)
	var machines []MachineView
	for i := range 40 {
		m := MachineView{
			ID:           fmt.Sprintf("i-%06d", i),
			InstanceType: "m",
			Zone:         []string{"a", "b"}[i%2],
			Spot:         i >= 20,
			Schedulable:  true,
			Capacity:     standin.CPUs(8),
			Free:         standin.CPUs(1),
			HasImage:     func(string) bool { return i == 7 },
		}
		if i == 4 || i == 9 {
			m.Free = standin.CPUs(2)
		}
		machines = append(machines, m)
	}
	got := reserveHeadroom(machines, nil, like, func(k int) bool { return k == 11 })
	if fmt.Sprint(got) != "[4 0 9 11]" {
		t.Errorf("kept on %v", got)
	}
	if got := reserveHeadroom(machines[:6], nil, like, func(int) bool { return false }); len(got) != 0 {
		t.Errorf("kept on %v of a small fleet", got)
	}
	if got := reserveHeadroom(machines, nil, nil, func(int) bool { return true }); len(got) != 0 {
		t.Errorf("kept on %v without a service", got)
	}
	// A task that needs a whole machine of some type finds one.
	whole := arraySpec("j-000003")
	whole.Request = standin.CPUs(8)
	for _, k := range []int{1, 3, 5} {
		machines[k].InstanceType, machines[k].Capacity = "large", standin.CPUs(16)
	}
	if got := reserveHeadroom(machines, []JobView{{Spec: whole}}, like, func(int) bool { return false }); fmt.Sprint(got) != "[4 0 1 3]" {
		t.Errorf("kept on %v, where a task needs a whole machine", got)
	}
	machines[4].Headroom = like.Request
	array, service := arraySpec("j-000002"), *like
	array.Request, service.Kind = standin.CPUs(2), protocol.Service
	for _, c := range []struct {
		spec    *protocol.JobSpec
		overdue bool
		want    int
	}{{array, false, 0}, {array, true, 1}, {&service, false, 1}} {
		s := Snapshot{
			Teams:         []TeamView{{QuotaLimit: standin.CPUs(100)}},
			Machines:      []MachineView{machines[4]},
			MaxPlacements: 10,
			Jobs: []JobView{{
				Spec:          c.spec,
				Starved:       c.overdue,
				Pending:       1,
				LiveByZone:    map[string]int{},
				LiveByMachine: map[int]int{},
				Avoid:         func(string) bool { return false },
			}},
		}
		if got := len(Plan(&s).Placements); got != c.want {
			t.Errorf("%d starts of a job of shape %d", got, c.spec.Kind)
		}
	}
}
