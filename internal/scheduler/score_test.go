package scheduler

import (
	"reflect"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// A machine that holds the image is preferred to one with more free capacity.
func TestPlanPrefersMachineWithImage(t *testing.T) {
	hasImage := func(yes bool) func(string) bool { return func(string) bool { return yes } }
	s := Snapshot{
		MaxPlacements: 10,
		Teams:         []TeamView{{QuotaLimit: fake.CPUs(100)}},
		Machines: []MachineView{
			{Schedulable: true, Free: fake.CPUs(16), HasImage: hasImage(false)},
			{Schedulable: true, Free: fake.CPUs(2), HasImage: hasImage(true)},
		},
		Jobs: []JobView{{
			Spec:       &protocol.JobSpec{ID: "j-1", Tasks: 3, Request: fake.CPUs(1)},
			Pending:    3,
			LiveByZone: map[string]int{},
			Avoid:      func(string) bool { return false },
		}},
	}
	got := Plan(&s).Placements
	want := []Placement{{Job: 0, Machine: 1, Count: 2}, {Job: 0, Machine: 0, Count: 1}}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// Among machines that hold the image, the one with the next heartbeat is preferred, since
// responses to heartbeats deliver placements. In a large fleet with free capacity many machines
// hold an image, and the one with the most free capacity may send its heartbeat seconds later
// than others: half of all starts in a lightly loaded fleet were delayed by that. A machine
// without the image is not preferred for its earlier heartbeat.
func TestPlanPrefersMachineWithNextHeartbeat(t *testing.T) {
	machine := func(id string, image bool, free, halfSeconds int) MachineView {
		return MachineView{
			ID:                     id,
			InstanceType:           "m",
			Zone:                   "a",
			Schedulable:            true,
			Capacity:               fake.CPUs(32),
			Free:                   fake.CPUs(free),
			HalfSecondsToHeartbeat: halfSeconds,
			HasImage:               func(string) bool { return image },
		}
	}
	s := Snapshot{
		MaxPlacements: 10,
		Teams:         []TeamView{{GuaranteedQuota: fake.CPUs(100), QuotaLimit: fake.CPUs(100)}},
		Machines:      []MachineView{machine("now", false, 32, 0), machine("late", true, 32, 9), machine("soon", true, 4, 1)},
		Jobs: []JobView{{
			Spec:    fake.JobSpec("j-000001"),
			Pending: 2,
			Avoid:   func(string) bool { return false },
		}},
	}
	if got := Plan(&s).Placements; len(got) != 1 || got[0].Machine != 2 || got[0].Count != 2 {
		t.Errorf("got placements %+v, want both tasks on machine 2", got)
	}
}

// Each field of a score takes precedence over the fields after it.
func TestScoresCompareInTheOrderOfTheirFields(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse score
	}{
		{"replicas in the zone", score{liveOnMachine: 1}, score{liveInZone: 1}},
		{"replicas on the machine", score{failed: true}, score{liveOnMachine: 1}},
		{"failed machine", score{slow: true}, score{failed: true}},
		{"slow machine", score{}, score{slow: true, hasImage: true}},
		{"image", score{hasImage: true}, score{heartbeatPending: true}},
		{"heartbeat pending", score{heartbeatPending: true}, score{freeCPU: 1}},
		{"free capacity", score{freeCPU: 2, startDelay: 1}, score{freeCPU: 1}},
		{"start delay", score{freeCPU: 1}, score{freeCPU: 1, startDelay: 1}},
		{"start delay first", score{startDelayFirst: true, freeCPU: 1}, score{startDelayFirst: true, freeCPU: 2, startDelay: 1}},
		{"free capacity then", score{startDelayFirst: true, freeCPU: 2}, score{startDelayFirst: true, freeCPU: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.better.compare(&c.worse) >= 0 || c.worse.compare(&c.better) <= 0 {
				t.Errorf("%+v does not compare as better than %+v", c.better, c.worse)
			}
			if c.better.compare(&c.better) != 0 {
				t.Errorf("%+v does not compare as equal to itself", c.better)
			}
		})
	}
}
