package kv

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

type steppedClock struct{ now units.Micros }

func (c *steppedClock) Steady() units.Micros { return c.now }

func (c *steppedClock) Wall() units.Micros { return c.now }

// The age of a record is never more than the time since a revision that contains it was
// first seen, and is exactly that up to the time that is kept, however few entries that
// takes.
func TestRevisionAgesAreNeverTooLarge(t *testing.T) {
	const keep = units.Second
	rapid.Check(t, func(t *rapid.T) {
		clock := &steppedClock{}
		h := NewRevisionHistory(clock, keep)
		firstSeen := map[uint64]units.Micros{} // by revision, each at least that old
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
				t.Fatalf("revision %d was never seen, and is %d old", r, age)
			case seen && age > clock.now-at:
				t.Fatalf("revision %d is %d old, and was seen %d ago", r, age, clock.now-at)
			case seen && min(age, keep) != min(clock.now-at, keep):
				t.Fatalf("revision %d is %d old, of %d", r, age, clock.now-at)
			}
		}
	})
}

// What is remembered does not grow with the number of changes.
func TestRevisionHistoryIsBounded(t *testing.T) {
	clock := &steppedClock{}
	h := NewRevisionHistory(clock, units.Second)
	for revision := range uint64(10_000) {
		clock.now += 10 * units.Millisecond
		h.Observe(revision + 1)
	}
	if n := len(h.observations); n > 102 {
		t.Errorf("%d revisions are remembered of the 100 in a second", n)
	}
}
