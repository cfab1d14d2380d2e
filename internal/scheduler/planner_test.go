package scheduler

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/units"
)

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{MaxPlacements: rapid.IntRange(1, 60).Draw(t, "batch")}
	teams := rapid.IntRange(1, 3).Draw(t, "teams")
	for range teams {
		g := rapid.IntRange(0, 20).Draw(t, "guarantee")
		s.Teams = append(s.Teams, TeamView{
			GuaranteedQuota: standin.CPUs(g),
			QuotaLimit:      standin.CPUs(g + rapid.IntRange(0, 30).Draw(t, "beyond")),
		})
	}
	ref := 0
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		m := MachineView{
			InstanceType: rapid.SampledFrom([]string{"small", "big"}).Draw(t, "type"),
			Zone:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Spot:         rapid.Bool().Draw(t, "spot"),
			Schedulable:  rapid.Bool().Draw(t, "accepts"),
			Slow:         i == 3,
			Free:         standin.CPUs(rapid.IntRange(0, 16).Draw(t, "free")),
			Freeing:      standin.CPUs(rapid.IntRange(0, 4).Draw(t, "freeing")),
		}
		image := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image")
		m.HasImage = func(name string) bool { return name == image }
		var victims []Victim
		for range rapid.IntRange(0, 4).Draw(t, "victims") {
			v := Victim{Ref: ref, Team: rapid.IntRange(0, teams-1).Draw(t, "victim team"),
				Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "victim priority")),
				Request:  standin.CPUs(rapid.IntRange(1, 4).Draw(t, "victim need"))}
			v.Job = &JobView{
				Spec:            &protocol.JobSpec{ID: fmt.Sprintf("j-9%05d", ref), Priority: v.Priority},
				Team:            v.Team,
				MissesDeadline:  rapid.Bool().Draw(t, "victim late"),
				WithinGuarantee: rapid.Bool().Draw(t, "victim guaranteed"),
				Rank:            float64(rapid.IntRange(0, 3).Draw(t, "victim rank")),
			}
			ref++
			s.Teams[v.Team].Used = s.Teams[v.Team].Used.Plus(v.Request, 1)
			victims = append(victims, v)
		}
		m.Victims = func() []Victim { return victims }
		s.Machines = append(s.Machines, m)
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
		n := rapid.IntRange(1, 12).Draw(t, "tasks")
		spec := &protocol.JobSpec{
			ID:            fmt.Sprintf("j-%06d", i),
			Tasks:         n,
			Request:       standin.CPUs(rapid.IntRange(1, 5).Draw(t, "need")),
			Priority:      protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
			AllowSpot:     rapid.Bool().Draw(t, "may spot"),
			Image:         "x",
			ZoneAffinity:  rapid.Bool().Draw(t, "one zone"),
			ZoneSpread:    rapid.Bool().Draw(t, "spread"),
			InstanceTypes: rapid.SampledFrom([][]string{nil, {"small"}}).Draw(t, "types"),
			Zone:          rapid.SampledFrom([]string{"", "a"}).Draw(t, "in zone"),
		}
		s.Jobs = append(s.Jobs, JobView{
			Spec:            spec,
			Team:            rapid.IntRange(0, teams-1).Draw(t, "team"),
			WithinGuarantee: rapid.Bool().Draw(t, "guaranteed"),
			Rank:            float64(rapid.IntRange(0, 3).Draw(t, "rank")),
			Pending:         n,
			LiveByZone:      map[string]int{},
			Avoid:           func(string) bool { return false },
		})
	}
	return s
}

// clone copies what Plan changes.
func clone(s Snapshot) Snapshot {
	s.Teams = append([]TeamView(nil), s.Teams...)
	s.Machines = append([]MachineView(nil), s.Machines...)
	s.Jobs = append([]JobView(nil), s.Jobs...)
	for i := range s.Jobs {
		live := map[string]int{}
		for z, n := range s.Jobs[i].LiveByZone {
			live[z] = n
		}
		s.Jobs[i].LiveByZone = live
	}
	return s
}

// A plan keeps the rules whatever it is given: no team over its limit with
// the victims still counted (they run until they are gone; this was broken
// once), no machine beyond its free room, no task where its job does not
// allow it, nobody stopped without the right.
func TestPlanKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		before := clone(s)
		w := Plan(&s)
		used := make([]units.Resources, len(before.Teams))
		free := make([]units.Resources, len(before.Machines))
		for i := range used {
			used[i] = before.Teams[i].Used
		}
		for i := range free {
			free[i] = before.Machines[i].Free
		}
		zones := make([]map[string]int, len(before.Jobs))
		started, total := map[int]int{}, 0
		for _, x := range w.Placements {
			j, m := before.Jobs[x.Job], before.Machines[x.Machine]
			if x.Count <= 0 || !m.Schedulable || !PlacementAllowed(j.Spec, m.InstanceType, m.Zone, m.Spot) {
				t.Fatalf("start %+v is not allowed", x)
			}
			used[j.Team] = used[j.Team].Plus(j.Spec.Request, x.Count)
			free[x.Machine] = free[x.Machine].Plus(j.Spec.Request, -x.Count)
			if zones[x.Job] == nil {
				zones[x.Job] = map[string]int{}
			}
			zones[x.Job][m.Zone] += x.Count
			started[x.Job] += x.Count
			total += x.Count
		}
		for i, u := range used {
			// What a team used before is not the plan's doing.
			if u != before.Teams[i].Used && before.Teams[i].QuotaLimit.Plus(u, -1).Fits(standin.CPUs(0)) == 0 {
				t.Fatalf("team %d uses %v of %v", i, u, before.Teams[i].QuotaLimit)
			}
		}
		for i, f := range free {
			if f.CPU < 0 || f.Memory < 0 {
				t.Fatalf("machine %d has %v left", i, f)
			}
		}
		for i, z := range zones {
			spec := before.Jobs[i].Spec
			if spec.ZoneAffinity && len(z) > 1 {
				t.Fatalf("job %d is in zones %v", i, z)
			}
			for zone, n := range z {
				if spec.ZoneSpread && n > (spec.Tasks+1)/2 {
					t.Fatalf("job %d has %d of %d tasks in %s", i, n, spec.Tasks, zone)
				}
			}
			if started[i] > before.Jobs[i].Pending {
				t.Fatalf("job %d: %d started of %d", i, started[i], before.Jobs[i].Pending)
			}
		}
		if total > before.MaxPlacements {
			t.Fatalf("%d starts in a batch of %d", total, before.MaxPlacements)
		}
		checkStops(t, before, w)
	})
}

func checkStops(t *rapid.T, s Snapshot, w Decisions) {
	stopped := map[int]bool{}
	for _, stop := range w.Preemptions {
		ref, j := stop.Victim, s.Jobs[stop.Job]
		if stopped[ref] {
			t.Fatalf("victim %d stopped twice", ref)
		}
		stopped[ref] = true
		for _, m := range s.Machines {
			for _, v := range m.Victims() {
				if v.Ref != ref {
					continue
				}
				// Room on a machine that the job may not use helps nobody:
				// urgent jobs went on stopping tasks on slow machines, 2,700
				// on one day.
				if !m.Schedulable || m.Slow && j.Spec.Priority >= protocol.High || !PlacementAllowed(j.Spec, m.InstanceType, m.Zone, m.Spot) {
					t.Fatalf("victim %+v stopped for %+v, which may not use its machine", v, j)
				}
				if v.Priority >= j.Spec.Priority && !j.WithinGuarantee {
					t.Fatalf("victim %+v stopped for %+v, which does not outrank it", v, j)
				}
				// A victim that comes first in the order would get the room
				// back in the next round: the two took turns 28,000 times on
				// one day.
				if compareJobs(&j, v.Job) >= 0 {
					t.Fatalf("victim %+v stopped for %+v, which comes after it", v, j)
				}
			}
		}
	}
}

// The same snapshot gives the same plan: nothing depends on the order of maps.
func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		a, b := clone(s), clone(s)
		if x, y := Plan(&a), Plan(&b); !reflect.DeepEqual(x, y) {
			t.Fatalf("%+v and then %+v", x, y)
		}
	})
}

func TestPlanPrefersTheMachineWithTheImage(t *testing.T) {
	holds := func(yes bool) func(string) bool { return func(string) bool { return yes } }
	s := Snapshot{
		MaxPlacements: 10,
		Teams:         []TeamView{{QuotaLimit: standin.CPUs(100)}},
		Machines: []MachineView{
			{Schedulable: true, Free: standin.CPUs(16), HasImage: holds(false)},
			{Schedulable: true, Free: standin.CPUs(2), HasImage: holds(true)},
		},
		Jobs: []JobView{{
			Spec:       &protocol.JobSpec{ID: "j-1", Tasks: 3, Request: standin.CPUs(1)},
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

// A task that needs two processors never finds them where tasks of one end one
// by one, unless the room is kept together for it.
func TestMachinesAreReservedForStarvedJobs(t *testing.T) {
	s := Snapshot{MaxPlacements: 10, Teams: []TeamView{{QuotaLimit: standin.CPUs(100)}}}
	for range 2 {
		s.Machines = append(s.Machines, MachineView{
			Schedulable: true,
			Capacity:    standin.CPUs(4),
			Free:        standin.CPUs(1),
			HasImage:    func(string) bool { return false },
		})
	}
	job := func(id string, need int, overdue bool) JobView {
		return JobView{
			Spec:    &protocol.JobSpec{ID: id, Tasks: 5, Request: standin.CPUs(need)},
			Pending: 5,
			Starved: overdue,
			Avoid:   func(string) bool { return false },
		}
	}
	s.Jobs = []JobView{job("j-000001", 1, false), job("j-000002", 2, true)}
	w := Plan(&s)
	if len(w.Reservations) != 1 || w.Reservations[0].Job != 1 || len(w.Placements) != 1 || w.Placements[0].Machine == w.Reservations[0].Machine {
		t.Fatalf("%+v", w)
	}
}

// Placements travel with the answers to reports. In a large fleet with room many
// machines hold an image, and the one with most room may report seconds later
// than others: half of all starts on a calm day of the fleet's waited for that.
// An image still goes before a report.
func TestPlanPrefersTheMachineWithTheNextHeartbeat(t *testing.T) {
	machine := func(id string, image bool, free, reports int) MachineView {
		return MachineView{
			ID:                     id,
			InstanceType:           "m",
			Zone:                   "a",
			Schedulable:            true,
			Capacity:               standin.CPUs(32),
			Free:                   standin.CPUs(free),
			HalfSecondsToHeartbeat: reports,
			HasImage:               func(string) bool { return image },
		}
	}
	s := Snapshot{
		MaxPlacements: 10,
		Teams:         []TeamView{{GuaranteedQuota: standin.CPUs(100), QuotaLimit: standin.CPUs(100)}},
		Machines:      []MachineView{machine("now", false, 32, 0), machine("late", true, 32, 9), machine("soon", true, 4, 1)},
		Jobs: []JobView{{
			Spec:    arraySpec("j-000001"),
			Pending: 2,
			Avoid:   func(string) bool { return false },
		}},
	}
	if w := Plan(&s); len(w.Placements) != 1 || w.Placements[0].Machine != 2 || w.Placements[0].Count != 2 {
		t.Errorf("starts: %+v", w.Placements)
	}
}
