package units

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

func TestCountFittingReturnsTheLargestCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least int64) Resources {
			amount := rapid.Int64Range(least, 1000)
			return Resources{Amount(amount.Draw(t, name)), Amount(amount.Draw(t, name)), Amount(amount.Draw(t, name))}
		}
		free, request := draw("free", -5), draw("request", 0)
		n := free.CountFitting(request)
		notNegative := func(r Resources) bool { return r.CPU >= 0 && r.GPU >= 0 && r.Memory >= 0 }
		if n == math.MaxInt32 {
			if request != (Resources{}) {
				t.Fatalf("non-zero request %v fits into %v without limit", request, free)
			}
			return
		}
		if n > 0 && !notNegative(free.Plus(request, -n)) || n >= 0 && notNegative(free) && notNegative(free.Plus(request, -n-1)) {
			t.Fatalf("request %v fits into %v %d times by CountFitting", request, free, n)
		}
	})
}

func TestOutOfRangeWireNumbersAreClamped(t *testing.T) {
	for _, c := range []struct {
		number float64
		micros Micros
		amount Amount
	}{
		{math.NaN(), 0, 0},
		{math.Inf(1), 1e18, 1e15},
		{math.Inf(-1), -1e18, -1e15},
		{1e300, 1e18, 1e15},
		{1.0000005, 1_000_001, 1_000_001}, // rounded, not truncated
		{-2.5, -2_500_000, -2_500_000},
	} {
		if got := Seconds(c.number); got != c.micros {
			t.Errorf("Seconds(%v) = %d, expected %d", c.number, got, c.micros)
		}
		if got := AmountOf(c.number); got != c.amount {
			t.Errorf("AmountOf(%v) = %d, expected %d", c.number, got, c.amount)
		}
	}
}
