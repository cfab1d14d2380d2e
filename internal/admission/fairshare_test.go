package admission

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// drawRequests draws requests without minimum shares.
func drawRequests(t *rapid.T) []ShareRequest {
	n := rapid.IntRange(1, 8).Draw(t, "requests")
	requests := make([]ShareRequest, n)
	for i := range requests {
		requests[i] = ShareRequest{
			Demand: Work(rapid.Int64Range(0, 1_000_000).Draw(t, "demand")),
			Weight: float64(rapid.IntRange(1, 50).Draw(t, "weight")),
		}
	}
	return requests
}

// oracle computes max-min fair shares by linear programs. Each round maximizes the common level
// of the shares that are not fixed yet, and fixes those whose demand is met at that level.
func oracle(t *rapid.T, total float64, requests []ShareRequest) []float64 {
	t.Helper()
	shares := make([]float64, len(requests))
	fixed := make([]bool, len(requests))
	for range requests {
		level := maxLevel(t, total, requests, shares, fixed)
		met := false
		for i, r := range requests {
			if fixed[i] {
				continue
			}
			shares[i] = r.Weight * level
			if shares[i] >= float64(r.Demand)-0.5 {
				shares[i], fixed[i], met = float64(r.Demand), true, true
			}
		}
		if !met {
			break
		}
	}
	return shares
}

// maxLevel returns the greatest level at which the shares that are not fixed can all be their
// weight times the level. The variables of the linear program are the level and one slack
// variable for each constraint.
func maxLevel(t *rapid.T, total float64, requests []ShareRequest, shares []float64, fixed []bool) float64 {
	t.Helper()
	var rows [][]float64
	var bounds []float64
	all := 0.0
	for i, r := range requests {
		if fixed[i] {
			total -= shares[i]
			continue
		}
		rows, bounds = append(rows, []float64{r.Weight}), append(bounds, float64(r.Demand))
		all += r.Weight
	}
	if len(rows) == 0 {
		return 0
	}
	rows, bounds = append(rows, []float64{all}), append(bounds, max(total, 0))
	a := mat.NewDense(len(rows), 1+len(rows), nil)
	for i, row := range rows {
		a.Set(i, 0, row[0])
		a.Set(i, 1+i, 1)
	}
	objective := make([]float64, 1+len(rows))
	objective[0] = -1
	_, solution, err := lp.Simplex(objective, a, bounds, 1e-9, nil)
	if err != nil {
		t.Fatalf("the oracle fails: %v", err)
	}
	return solution[0]
}

// FairShares agrees with an oracle that solves the same problem by linear programming.
func TestFairSharesAgreeWithLinearPrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := drawRequests(t)
		total := Work(rapid.Int64Range(1, 4_000_000).Draw(t, "total"))
		want := oracle(t, float64(total), requests)
		for i, got := range FairShares(total, requests) {
			if math.Abs(float64(got)-want[i]) > 20 { // each division rounds down
				t.Fatalf("request %d gets %d, by the oracle %.1f", i, got, want[i])
			}
		}
	})
}

// No share exceeds its demand, the total is allocated as long as there is unmet demand, minimum
// shares are served, and a greater weight never gives a smaller share.
func TestFairSharesKeepMaxMinRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := drawRequests(t)
		var minShares, demand Work
		for i := range requests {
			requests[i].MinShare = Work(rapid.Int64Range(0, 100_000).Draw(t, "minimum share"))
			minShares += min(requests[i].MinShare, requests[i].Demand)
			demand += requests[i].Demand
		}
		total := Work(rapid.Int64Range(0, 4_000_000).Draw(t, "total"))
		shares := FairShares(total, requests)
		var sum Work
		for i, share := range shares {
			sum += share
			if share < 0 || share > requests[i].Demand {
				t.Fatalf("request %d gets %d of %d", i, share, requests[i].Demand)
			}
			if minShares <= total && share < min(requests[i].MinShare, requests[i].Demand)-Work(len(requests)) {
				t.Fatalf("request %d gets %d, below its minimum share of %d", i, share, requests[i].MinShare)
			}
		}
		if slack := min(total, demand) - sum; slack < 0 || slack > 4*Work(len(requests)) {
			t.Fatalf("%d of %d are allocated, the demand is %d", sum, total, demand)
		}
		k := rapid.IntRange(0, len(requests)-1).Draw(t, "heavier")
		requests[k].Weight *= 2
		if more := FairShares(total, requests)[k]; more < shares[k]-4 {
			t.Fatalf("with twice the weight request %d gets %d, not %d", k, more, shares[k])
		}
	})
}

// Amounts of work of the largest jobs and fleets do not overflow.
func TestWorkDoesNotOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(0, 100_000).Draw(t, "tasks")
		need := rapid.Int64Range(0, 1_000_000_000_000).Draw(t, "need")
		run := rapid.Int64Range(0, 1_000_000_000_000_000).Draw(t, "run")
		w := WorkOf(tasks, units.Amount(need), units.Micros(run))
		exact := float64(tasks) * math.Floor(float64(need)*float64(run)/workUnit)
		if w < 0 || w > MaxWork || exact < float64(MaxWork)/2 && math.Abs(float64(w)-exact) > 1e-6*exact+float64(tasks) {
			t.Fatalf("the work is %d, want about %g", w, exact)
		}
	})
	const machines, cpus, week = 4000, 128, 7 * 24 * 3600
	all := WorkOf(machines, cpus*1_000_000, week*1_000_000)
	if all != machines*cpus*week*1000 {
		t.Errorf("a week of the fleet is %d", all)
	}
	shares := FairShares(all, []ShareRequest{{Demand: MaxWork, Weight: 1}, {Demand: MaxWork, Weight: 3}})
	if shares[0]+shares[1] > all || shares[1] < shares[0]*3-10 {
		t.Errorf("%v of %d", shares, all)
	}
}
