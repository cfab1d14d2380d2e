package admission

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/units"
)

func drawClaims(t *rapid.T) []Claim {
	n := rapid.IntRange(1, 8).Draw(t, "claims")
	claims := make([]Claim, n)
	for i := range claims {
		claims[i] = Claim{
			Demand: Work(rapid.Int64Range(0, 1_000_000).Draw(t, "demand")),
			Weight: float64(rapid.IntRange(1, 50).Draw(t, "weight")),
		}
	}
	return claims
}

// oracle divides by linear programs: it raises the least satisfied until a demand is met,
// fixes that, and goes on with the others.
func oracle(t *rapid.T, total float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	fixed := make([]bool, len(claims))
	for range claims {
		level := raise(t, total, claims, shares, fixed)
		met := false
		for i, c := range claims {
			if fixed[i] {
				continue
			}
			shares[i] = c.Weight * level
			if shares[i] >= float64(c.Demand)-0.5 {
				shares[i], fixed[i], met = float64(c.Demand), true, true
			}
		}
		if !met {
			break
		}
	}
	return shares
}

// raise maximizes the level at which all that are not fixed get weight times level.
// Variables: the level, and one slack for each constraint.
func raise(t *rapid.T, total float64, claims []Claim, shares []float64, fixed []bool) float64 {
	var rows [][]float64
	var bounds []float64
	all := 0.0
	for i, c := range claims {
		if fixed[i] {
			total -= shares[i]
			continue
		}
		rows, bounds = append(rows, []float64{c.Weight}), append(bounds, float64(c.Demand))
		all += c.Weight
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

func TestDivideAgreesWithLinearPrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		total := Work(rapid.Int64Range(1, 4_000_000).Draw(t, "total"))
		want := oracle(t, float64(total), claims)
		for i, got := range Divide(total, claims) {
			if math.Abs(float64(got)-want[i]) > 20 { // each division rounds down
				t.Fatalf("claim %d gets %d, by the oracle %.1f", i, got, want[i])
			}
		}
	})
}

// Nobody gets more than its demand, all is given out as long as there is demand, floors
// hold, and more weight is never less share.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		var floors, demand Work
		for i := range claims {
			claims[i].Floor = Work(rapid.Int64Range(0, 100_000).Draw(t, "floor"))
			floors += min(claims[i].Floor, claims[i].Demand)
			demand += claims[i].Demand
		}
		total := Work(rapid.Int64Range(0, 4_000_000).Draw(t, "total"))
		shares := Divide(total, claims)
		var sum Work
		for i, share := range shares {
			sum += share
			if share < 0 || share > claims[i].Demand {
				t.Fatalf("claim %d gets %d of %d", i, share, claims[i].Demand)
			}
			if floors <= total && share < min(claims[i].Floor, claims[i].Demand)-Work(len(claims)) {
				t.Fatalf("claim %d gets %d, below its floor of %d", i, share, claims[i].Floor)
			}
		}
		if slack := min(total, demand) - sum; slack < 0 || slack > 4*Work(len(claims)) {
			t.Fatalf("%d of %d are given out, %d are wanted", sum, total, demand)
		}
		k := rapid.IntRange(0, len(claims)-1).Draw(t, "heavier")
		claims[k].Weight *= 2
		if more := Divide(total, claims)[k]; more < shares[k]-4 {
			t.Fatalf("with twice the weight claim %d gets %d, not %d", k, more, shares[k])
		}
	})
}

// The largest jobs on the largest fleets do not overflow.
func TestWorkIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(0, 100_000).Draw(t, "tasks")
		need := rapid.Int64Range(0, 1_000_000_000_000).Draw(t, "need")
		run := rapid.Int64Range(0, 1_000_000_000_000_000).Draw(t, "run")
		w := WorkOf(tasks, units.Amount(need), units.Micros(run))
		exact := float64(tasks) * math.Floor(float64(need)*float64(run)/workUnit)
		if w < 0 || w > MaxWork || exact < float64(MaxWork)/2 && math.Abs(float64(w)-exact) > 1e-6*exact+float64(tasks) {
			t.Fatalf("%d, about %g", w, exact)
		}
	})
	const machines, cpus, week = 4000, 128, 7 * 24 * 3600
	all := WorkOf(machines, cpus*1_000_000, week*1_000_000)
	if all != machines*cpus*week*1000 {
		t.Errorf("a week of the fleet is %d", all)
	}
	shares := Divide(all, []Claim{{Demand: MaxWork, Weight: 1}, {Demand: MaxWork, Weight: 3}})
	if shares[0]+shares[1] > all || shares[1] < shares[0]*3-10 {
		t.Errorf("%v of %d", shares, all)
	}
}
