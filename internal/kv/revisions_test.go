package kv

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

type fakeClock struct{ now units.Micros }

func (c *fakeClock) Steady() units.Micros { return c.now }

func (c *fakeClock) Wall() units.Micros { return c.now }

// The age of a revision is never more than the time since it or a later one was first seen. Up to
// the retention time it is exactly that time, although older observations are dropped.
func TestRevisionAgesAreNeverTooLarge(t *testing.T) {
	const keep = units.Second
	rapid.Check(t, func(t *rapid.T) {
		clock := &fakeClock{}
		h := NewRevisionHistory(clock, keep)
		firstSeen := map[uint64]units.Micros{} // by revision: when it or a later one was first seen
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			clock.now += units.Micros(rapid.Int64Range(0, int64(keep)/4).Draw(t, "pause"))
			revision := rapid.Uint64Range(1, 100).Draw(t, "revision")
			h.Observe(revision)
			for r := newest + 1; r <= revision; r++ {
				firstSeen[r] = clock.now
			}
			newest = max(newest, revision)
		}
		for r := uint64(1); r <= 100; r++ {
			at, seen := firstSeen[r]
			age := h.Age(r)
			switch {
			case !seen && age != 0:
				t.Fatalf("revision %d was never seen but has age %d", r, age)
			case seen && age > clock.now-at:
				t.Fatalf("revision %d has age %d but was first seen %d ago", r, age, clock.now-at)
			case seen && min(age, keep) != min(clock.now-at, keep):
				t.Fatalf("revision %d has age %d, want %d up to the retention time", r, age, clock.now-at)
			}
		}
	})
}

// The history does not grow with the number of changes: it drops observations beyond the
// retention time.
func TestRevisionHistoryIsBounded(t *testing.T) {
	clock := &fakeClock{}
	h := NewRevisionHistory(clock, units.Second)
	for revision := range uint64(10_000) {
		clock.now += 10 * units.Millisecond
		h.Observe(revision + 1)
	}
	if n := len(h.observations); n > 102 {
		t.Errorf("history holds %d observations, want about the 100 within the retention time", n)
	}
}
