package admission

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

func heldPlan(version, fencingToken, revision uint64, at units.Micros) Held {
	plan := newPlan(version, fencingToken, testHorizon, cpus(100))
	plan.setTeam(teamKey{Team: "mill"}, TeamEntry{VersionQuota: 1000, LargeThreshold: MaxWork, EstimateCorrection: exactEstimates})
	return Held{Plan: plan, Revision: revision, WrittenAfter: at, WrittenBefore: at}
}

// A plan of a former term, or an older one, never replaces a newer one; what comes late
// has no effect, and what cannot be is refused.
func TestOldPlansReplaceNothing(t *testing.T) {
	k := NewKeeper(Options{Horizon: testHorizon}, testTeams("mill"), 5)
	for _, step := range []struct {
		held Held
		err  error
		want uint64
	}{
		{heldPlan(3, 2, 10, 0), nil, 3},
		{heldPlan(2, 1, 9, 0), nil, 3}, // late
		{heldPlan(4, 1, 11, 0), ErrStalePlan, 3},
		{heldPlan(3, 2, 12, 0), ErrStalePlan, 3},
		{heldPlan(4, 3, 13, 0), nil, 4},
	} {
		err := k.Adopt(step.held)
		if !errors.Is(err, step.err) {
			t.Errorf("%v, want %v", err, step.err)
		}
		if got := k.Now(0).Plan.Version; got != step.want {
			t.Errorf("version %d is in force, want %d", got, step.want)
		}
	}
	k.Missing(5)
	if s := k.Now(0); s.Force != ByPlan {
		t.Errorf("a late look without a record: %v", s)
	}
	k.Missing(20)
	if s := k.Now(0); s.Force != ByFloor || s.Revision != 0 {
		t.Errorf("the record is gone: %v", s)
	}
}

// A plan is obeyed while it surely is not too old, and the fallback plan is used once it surely
// is; in between nothing is decided.
func TestPlansLapse(t *testing.T) {
	k := NewKeeper(Options{Horizon: testHorizon}, testTeams("mill"), 5)
	job := testJob(1, "mill", "bulk", 1, 1)
	if d, _ := k.Decide(job, Alone, 0); d.Verdict != Undecided {
		t.Errorf("before the record is read: %v", d)
	}
	held := heldPlan(1, 1, 7, 100*units.Second)
	held.WrittenBefore += 3 * units.Second
	if err := k.Adopt(held); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after units.Micros
		want  Force
	}{
		{0, ByPlan},
		{Lifetime - 1, ByPlan},
		{Lifetime, Unclear},
		{Lifetime + 3*units.Second - 1, Unclear},
		{Lifetime + 3*units.Second, ByFloor},
	} {
		if s := k.Now(100*units.Second + c.after); s.Force != c.want || s.Revision != 7 {
			t.Errorf("after %.1f s: %v, want %v", c.after.Seconds(), s.Force, c.want)
		}
	}
}

// Controllers that each admit alone, under one version of a plan or by the fallback plan, exceed
// a quota together by at most one job each.
func TestControllersAloneKeepWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		fallback := rapid.Bool().Draw(t, "by the fallback plan")
		largest := Work(0)
		admitted := Work(0)
		for node := range nodes {
			k := NewKeeper(Options{Horizon: testHorizon}, testTeams("mill"), nodes)
			if fallback {
				k.Missing(1)
			} else if err := k.Adopt(heldPlan(1, 1, 1, 0)); err != nil {
				t.Fatal(err)
			}
			for i := range 100 {
				job := testJob(1000*node+i, "mill", "bulk", rapid.IntRange(1, 40).Draw(t, "tasks"), 10)
				if d, _ := k.Decide(job, Alone, units.Second); d.Verdict == Admit {
					admitted += d.Cost
					largest = max(largest, d.Cost)
				}
			}
		}
		quota := Work(1000)
		if fallback {
			quota = WorkOf(1, cpus(testCPUs)[CPU], Lifetime)
		}
		if admitted > quota+nodes*largest {
			t.Fatalf("%d are admitted, the quota is %d and the largest job %d", admitted, quota, largest)
		}
		if admitted < quota {
			t.Fatalf("only %d of %d are admitted of a flood", admitted, quota)
		}
	})
}

// Without a plan each team goes on at the rate of its guarantee.
func TestFallbackPlanAdmitsAtTheGuaranteedRate(t *testing.T) {
	k := NewKeeper(Options{Horizon: testHorizon}, testTeams("mill"), 1)
	k.Missing(1)
	const lasts = 100
	var admitted Work
	for i := range lasts * 10 {
		at := units.Second + units.Micros(i)*units.Second/10
		if d, _ := k.Decide(testJob(i, "mill", "bulk", 10, 10), Alone, at); d.Verdict == Admit {
			admitted += d.Cost
		}
	}
	rate := WorkOf(1, cpus(testCPUs)[CPU], lasts*units.Second)
	if admitted < rate || admitted > rate*13/10 {
		t.Errorf("%d are admitted, the guarantee does %d", admitted, rate)
	}
	counts := k.CountsByTeam()
	if len(counts) != 1 || counts[0].Team != "mill" || counts[0].Admitted+counts[0].Undecided != lasts*10 || counts[0].Waits != 0 {
		t.Errorf("counted: %+v", counts)
	}
}
