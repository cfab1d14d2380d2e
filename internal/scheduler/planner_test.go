package scheduler

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// drawSnapshot draws a snapshot of a few teams, machines and jobs.
func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{MaxPlacements: rapid.IntRange(1, 60).Draw(t, "max placements")}
	for range rapid.IntRange(1, 3).Draw(t, "teams") {
		guarantee := rapid.IntRange(0, 20).Draw(t, "guarantee")
		s.Teams = append(s.Teams, TeamView{
			GuaranteedQuota: fake.CPUs(guarantee),
			QuotaLimit:      fake.CPUs(guarantee + rapid.IntRange(0, 30).Draw(t, "beyond")),
		})
	}
	victims := 0
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		m := drawMachine(t)
		m.Slow = i == 3
		var onMachine []Victim
		for range rapid.IntRange(0, 4).Draw(t, "victims") {
			v := drawVictim(t, victims, len(s.Teams))
			victims++
			s.Teams[v.Team].Used = s.Teams[v.Team].Used.Plus(v.Request, 1)
			onMachine = append(onMachine, v)
		}
		m.Victims = func() []Victim { return onMachine }
		s.Machines = append(s.Machines, m)
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
		s.Jobs = append(s.Jobs, drawJob(t, i, len(s.Teams)))
	}
	return s
}

// drawMachine draws a machine without victims.
func drawMachine(t *rapid.T) MachineView {
	m := MachineView{
		InstanceType: rapid.SampledFrom([]string{"small", "big"}).Draw(t, "type"),
		Zone:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Spot:         rapid.Bool().Draw(t, "spot"),
		Schedulable:  rapid.Bool().Draw(t, "schedulable"),
		Free:         fake.CPUs(rapid.IntRange(0, 16).Draw(t, "free")),
		Freeing:      fake.CPUs(rapid.IntRange(0, 4).Draw(t, "freeing")),
	}
	image := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image")
	m.HasImage = func(name string) bool { return name == image }
	return m
}

// drawVictim draws a task that could be preempted, of one of the given number of teams.
func drawVictim(t *rapid.T, ref, teams int) Victim {
	v := Victim{
		Ref:      ref,
		Team:     rapid.IntRange(0, teams-1).Draw(t, "victim team"),
		Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "victim priority")),
		Request:  fake.CPUs(rapid.IntRange(1, 4).Draw(t, "victim request")),
	}
	v.Job = &JobView{
		Spec:            &protocol.JobSpec{ID: fmt.Sprintf("j-9%05d", ref), Priority: v.Priority},
		Team:            v.Team,
		MissesDeadline:  rapid.Bool().Draw(t, "victim late"),
		WithinGuarantee: rapid.Bool().Draw(t, "victim guaranteed"),
		Rank:            float64(rapid.IntRange(0, 3).Draw(t, "victim rank")),
	}
	return v
}

// drawJob draws a job array without live tasks, of one of the given number of teams.
func drawJob(t *rapid.T, index, teams int) JobView {
	tasks := rapid.IntRange(1, 12).Draw(t, "tasks")
	return JobView{
		Spec: &protocol.JobSpec{
			ID:            fmt.Sprintf("j-%06d", index),
			Tasks:         tasks,
			Request:       fake.CPUs(rapid.IntRange(1, 5).Draw(t, "request")),
			Priority:      protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
			AllowSpot:     rapid.Bool().Draw(t, "allow spot"),
			Image:         "x",
			ZoneAffinity:  rapid.Bool().Draw(t, "zone affinity"),
			ZoneSpread:    rapid.Bool().Draw(t, "spread"),
			InstanceTypes: rapid.SampledFrom([][]string{nil, {"small"}}).Draw(t, "types"),
			Zone:          rapid.SampledFrom([]string{"", "a"}).Draw(t, "in zone"),
		},
		Team:            rapid.IntRange(0, teams-1).Draw(t, "team"),
		WithinGuarantee: rapid.Bool().Draw(t, "guaranteed"),
		Rank:            float64(rapid.IntRange(0, 3).Draw(t, "rank")),
		Pending:         tasks,
		WaitedLong:      rapid.Bool().Draw(t, "waited long"),
		LiveByZone:      map[string]int{},
		Avoid:           func(string) bool { return false },
	}
}

// cloneSnapshot returns a copy of a snapshot that shares nothing that Plan modifies.
func cloneSnapshot(s Snapshot) Snapshot {
	s.Teams, s.Machines, s.Jobs = slices.Clone(s.Teams), slices.Clone(s.Machines), slices.Clone(s.Jobs)
	for i := range s.Jobs {
		s.Jobs[i].LiveByZone = maps.Clone(s.Jobs[i].LiveByZone)
	}
	return s
}

// For every snapshot a plan keeps the invariants: no team exceeds its quota limit, with victims
// counted as used because they run until they have stopped; no machine exceeds its free
// capacity; each task is placed where its job allows it; and each preemption is allowed.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		before := cloneSnapshot(s)
		decisions := Plan(&s)
		checkCapacity(t, before, decisions)
		checkTopology(t, before, decisions)
		checkPreemptions(t, before, decisions)
	})
}

// checkCapacity checks that placements stay within the teams' quota limits, the machines' free
// capacity and the cycle's limit.
func checkCapacity(t *rapid.T, before Snapshot, decisions Decisions) {
	used := make([]units.Resources, len(before.Teams))
	free := make([]units.Resources, len(before.Machines))
	for i := range used {
		used[i] = before.Teams[i].Used
	}
	for i := range free {
		free[i] = before.Machines[i].Free
	}
	total := 0
	for _, placement := range decisions.Placements {
		job := before.Jobs[placement.Job]
		used[job.Team] = used[job.Team].Plus(job.Spec.Request, placement.Count)
		free[placement.Machine] = free[placement.Machine].Plus(job.Spec.Request, -placement.Count)
		total += placement.Count
	}
	for i, u := range used {
		// A team may exceed its limit before the plan; only the plan's additions are checked.
		if u != before.Teams[i].Used && before.Teams[i].QuotaLimit.Plus(u, -1).CountFitting(fake.CPUs(0)) == 0 {
			t.Fatalf("team %d uses %v, with a quota limit of %v", i, u, before.Teams[i].QuotaLimit)
		}
	}
	for i, f := range free {
		if f.CPU < 0 || f.Memory < 0 {
			t.Fatalf("machine %d is overcommitted: %v free", i, f)
		}
	}
	if total > before.MaxPlacements {
		t.Fatalf("%d tasks placed in a cycle with a limit of %d", total, before.MaxPlacements)
	}
}

// checkTopology checks that tasks are placed only where their jobs allow it, and that no job
// has more tasks placed than pending.
func checkTopology(t *rapid.T, before Snapshot, decisions Decisions) {
	byZone := make([]map[string]int, len(before.Jobs))
	placed := map[int]int{}
	for _, placement := range decisions.Placements {
		job, m := before.Jobs[placement.Job], before.Machines[placement.Machine]
		if placement.Count <= 0 || !m.Schedulable || !PlacementAllowed(job.Spec, m.InstanceType, m.Zone, m.Spot) {
			t.Fatalf("placement %+v is not allowed", placement)
		}
		if byZone[placement.Job] == nil {
			byZone[placement.Job] = map[string]int{}
		}
		byZone[placement.Job][m.Zone] += placement.Count
		placed[placement.Job] += placement.Count
	}
	for i, zones := range byZone {
		spec := before.Jobs[i].Spec
		if spec.ZoneAffinity && len(zones) > 1 {
			t.Fatalf("job %d with zone affinity is placed in several zones: %v", i, zones)
		}
		for zone, n := range zones {
			if spec.ZoneSpread && n > (spec.Tasks+1)/2 {
				t.Fatalf("job %d with topology spread has %d of %d tasks in zone %s", i, n, spec.Tasks, zone)
			}
		}
		if placed[i] > before.Jobs[i].Pending {
			t.Fatalf("job %d: %d tasks placed, %d pending", i, placed[i], before.Jobs[i].Pending)
		}
	}
}

// checkPreemptions checks that every victim is preempted at most once, and for a job that is
// allowed to preempt it and to run on its machine.
func checkPreemptions(t *rapid.T, before Snapshot, decisions Decisions) {
	preempted := map[int]bool{}
	for _, preemption := range decisions.Preemptions {
		ref, job := preemption.Victim, before.Jobs[preemption.Job]
		if preempted[ref] {
			t.Fatalf("victim %d preempted twice", ref)
		}
		preempted[ref] = true
		for _, m := range before.Machines {
			for _, v := range m.Victims() {
				if v.Ref != ref {
					continue
				}
				// Preempting on a machine that the job may not use frees nothing for
				// the job, and is repeated in each cycle: urgent jobs preempted 2,700
				// tasks on slow machines in one day.
				if !m.Schedulable || m.Slow && job.Spec.Priority >= protocol.High || !PlacementAllowed(job.Spec, m.InstanceType, m.Zone, m.Spot) {
					t.Fatalf("victim %+v preempted for %+v, which may not use its machine", v, job)
				}
				if v.Priority >= job.Spec.Priority && !job.WithinGuarantee {
					t.Fatalf("victim %+v preempted for %+v, which does not outrank it", v, job)
				}
				// A victim that comes first in scheduling order gets the capacity back
				// in the next cycle: two jobs preempted each other 28,000 times in
				// one day.
				if compareJobs(&job, v.Job) >= 0 {
					t.Fatalf("victim %+v preempted for %+v, which does not precede it", v, job)
				}
			}
		}
	}
}

// Plans of equal snapshots are equal: no decision depends on the iteration order of a map.
func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		first, second := cloneSnapshot(s), cloneSnapshot(s)
		if x, y := Plan(&first), Plan(&second); !reflect.DeepEqual(x, y) {
			t.Fatalf("plans of the same snapshot differ: %+v and %+v", x, y)
		}
	})
}

// A machine is reserved for a starved job whose tasks do not fit. Otherwise tasks of one
// CPU would take each CPU as it becomes free, and a task of two would never start.
func TestMachinesAreReservedForStarvedJobs(t *testing.T) {
	s := Snapshot{MaxPlacements: 10, Teams: []TeamView{{QuotaLimit: fake.CPUs(100)}}}
	for range 2 {
		s.Machines = append(s.Machines, MachineView{
			Schedulable: true,
			Capacity:    fake.CPUs(4),
			Free:        fake.CPUs(1),
			HasImage:    func(string) bool { return false },
		})
	}
	job := func(id string, cpus int, starved bool) JobView {
		return JobView{
			Spec:    &protocol.JobSpec{ID: id, Tasks: 5, Request: fake.CPUs(cpus)},
			Pending: 5,
			Starved: starved,
			Avoid:   func(string) bool { return false },
		}
	}
	s.Jobs = []JobView{job("j-000001", 1, false), job("j-000002", 2, true)}
	got := Plan(&s)
	if len(got.Reservations) != 1 || got.Reservations[0].Job != 1 || len(got.Placements) != 1 || got.Placements[0].Machine == got.Reservations[0].Machine {
		t.Fatalf("got %+v, want one machine reserved for job 1 and one placement on the other machine", got)
	}
}
