package admission

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// observedPlan returns a plan of one team that was written at a known time and read at a
// revision.
func observedPlan(version, fencingToken, revision uint64, at units.Micros) ObservedPlan {
	plan := newPlan(version, fencingToken, testHorizon, cpus(100))
	plan.setTeam(teamKey{Team: "mill"}, TeamEntry{VersionQuota: 1000, LargeThreshold: MaxWork, EstimateCorrection: exactEstimates})
	return ObservedPlan{Plan: plan, Revision: revision, WrittenAfter: at, WrittenBefore: at}
}

// A plan with an older fencing token or version never replaces a newer one: at an older
// revision of the record it is ignored, at a newer one it is an error.
func TestStalePlanIsRejected(t *testing.T) {
	plans := NewPlanStore(Options{Horizon: testHorizon}, testTeams("mill"), 5)
	for _, step := range []struct {
		observed ObservedPlan
		err      error
		want     uint64
	}{
		{observedPlan(3, 2, 10, 0), nil, 3},
		{observedPlan(2, 1, 9, 0), nil, 3}, // an older revision, read late
		{observedPlan(4, 1, 11, 0), ErrStalePlan, 3},
		{observedPlan(3, 2, 12, 0), ErrStalePlan, 3},
		{observedPlan(4, 3, 13, 0), nil, 4},
	} {
		err := plans.Update(step.observed)
		if !errors.Is(err, step.err) {
			t.Errorf("%v, want %v", err, step.err)
		}
		if got := plans.State(0).Plan.Version; got != step.want {
			t.Errorf("version %d is in force, want %d", got, step.want)
		}
	}
	plans.Clear(5)
	if s := plans.State(0); s.Source != SourceRecord {
		t.Errorf("a late read without a record: %v", s)
	}
	plans.Clear(20)
	if s := plans.State(0); s.Source != SourceFallback || s.Revision != 0 {
		t.Errorf("the record is gone: %v", s)
	}
}

// A plan is in force while it cannot have expired, and the fallback plan once it has certainly
// expired. In between no plan is in force.
func TestExpiredPlanGivesWayToFallbackPlan(t *testing.T) {
	plans := NewPlanStore(Options{Horizon: testHorizon}, testTeams("mill"), 5)
	job := testJob(1, "mill", "bulk", 1, 1)
	if d, _ := plans.Decide(job, RoleIsolated, 0); d.Verdict != Undecided {
		t.Errorf("before the record is read: %v", d)
	}
	observed := observedPlan(1, 1, 7, 100*units.Second)
	observed.WrittenBefore += 3 * units.Second
	if err := plans.Update(observed); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		after units.Micros
		want  PlanSource
	}{
		{0, SourceRecord},
		{PlanLifetime - 1, SourceRecord},
		{PlanLifetime, SourceUncertain},
		{PlanLifetime + 3*units.Second - 1, SourceUncertain},
		{PlanLifetime + 3*units.Second, SourceFallback},
	} {
		if s := plans.State(100*units.Second + test.after); s.Source != test.want || s.Revision != 7 {
			t.Errorf("after %.1f s: %v, want %v", test.after.Seconds(), s.Source, test.want)
		}
	}
}

// Isolated controllers together exceed a version quota by at most one job each, under one
// version of a plan and under the fallback plan.
func TestIsolatedControllersStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const controllers = 5
		fallback := rapid.Bool().Draw(t, "by the fallback plan")
		largest := Work(0)
		admitted := Work(0)
		for controller := range controllers {
			plans := NewPlanStore(Options{Horizon: testHorizon}, testTeams("mill"), controllers)
			if fallback {
				plans.Clear(1)
			} else if err := plans.Update(observedPlan(1, 1, 1, 0)); err != nil {
				t.Fatal(err)
			}
			for i := range 100 {
				job := testJob(1000*controller+i, "mill", "bulk", rapid.IntRange(1, 40).Draw(t, "tasks"), 10)
				if d, _ := plans.Decide(job, RoleIsolated, units.Second); d.Verdict == Admit {
					admitted += d.Cost
					largest = max(largest, d.Cost)
				}
			}
		}
		quota := Work(1000)
		if fallback {
			quota = WorkOf(1, cpus(testCPUs)[CPU], PlanLifetime)
		}
		if admitted > quota+controllers*largest {
			t.Fatalf("%d are admitted, the quota is %d and the largest job %d", admitted, quota, largest)
		}
		if admitted < quota {
			t.Fatalf("only %d of %d are admitted of a flood", admitted, quota)
		}
	})
}

// Under the fallback plan the jobs of a team are admitted at the rate of its guaranteed quota.
func TestFallbackPlanAdmitsAtTheGuaranteedRate(t *testing.T) {
	plans := NewPlanStore(Options{Horizon: testHorizon}, testTeams("mill"), 1)
	plans.Clear(1)
	const seconds = 100
	var admitted Work
	for i := range seconds * 10 {
		at := units.Second + units.Micros(i)*units.Second/10
		if d, _ := plans.Decide(testJob(i, "mill", "bulk", 10, 10), RoleIsolated, at); d.Verdict == Admit {
			admitted += d.Cost
		}
	}
	rate := WorkOf(1, cpus(testCPUs)[CPU], seconds*units.Second)
	if admitted < rate || admitted > rate*13/10 {
		t.Errorf("%d are admitted, the guaranteed quota does %d", admitted, rate)
	}
	counts := plans.CountsByTeam()
	if len(counts) != 1 || counts[0].Team != "mill" || counts[0].Admitted+counts[0].Undecided != seconds*10 || counts[0].Waits != 0 {
		t.Errorf("counted: %+v", counts)
	}
}
