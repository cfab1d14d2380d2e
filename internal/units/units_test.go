package units

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

func TestFitsIsTheMostThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least int64) Resources {
			a := rapid.Int64Range(least, 1000)
			return Resources{Amount(a.Draw(t, name)), Amount(a.Draw(t, name)), Amount(a.Draw(t, name))}
		}
		room, need := draw("room", -5), draw("need", 0)
		n := room.Fits(need)
		inside := func(r Resources) bool { return r.CPU >= 0 && r.GPU >= 0 && r.Memory >= 0 }
		if n == math.MaxInt32 {
			if need != (Resources{}) {
				t.Fatalf("%v fits into %v without end", need, room)
			}
			return
		}
		if n > 0 && !inside(room.Plus(need, -n)) || n >= 0 && inside(room) && inside(room.Plus(need, -n-1)) {
			t.Fatalf("%v into %v: %d", need, room, n)
		}
	})
}

func TestHostileNumbers(t *testing.T) {
	for _, f := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		if s := Seconds(f); s < -Micros(1e18) || s > Micros(1e18) {
			t.Errorf("Seconds(%v) = %d", f, s)
		}
		if a := AmountOf(f); a < -Amount(1e15) || a > Amount(1e15) {
			t.Errorf("AmountOf(%v) = %d", f, a)
		}
	}
}
