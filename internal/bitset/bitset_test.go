package bitset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

// A set has the same members as a map with the same changes, as a whole and in its pages.
func TestSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "n")
		set, other, want := New(n), New(n), map[int]bool{}
		number := rapid.IntRange(0, n-1)
		for _, i := range rapid.SliceOf(number).Draw(t, "added") {
			set.Add(i)
			want[i] = true
		}
		for _, i := range rapid.SliceOf(number).Draw(t, "removed") {
			set.Remove(i)
			delete(want, i)
		}
		for _, i := range rapid.SliceOf(number).Draw(t, "added from another set") {
			other.Add(i)
			want[i] = true
		}
		set.AddAll(other)
		if set.Empty() != (len(want) == 0) {
			t.Fatalf("empty: %v, with %d members", set.Empty(), len(want))
		}
		for i := range n {
			if set.Has(i) != want[i] {
				t.Fatalf("%d is a member: %v", i, set.Has(i))
			}
		}
		if got := slices.Collect(set.All()); len(got) != len(want) || !slices.IsSorted(got) {
			t.Fatalf("all: %v, want %d members in order", got, len(want))
		}
		const size = 64
		for page := range (n + size - 1) / size {
			for i, b := range set.Page(page, size) {
				for bit := range 8 {
					if member := page*size + 8*i + bit; b&(1<<bit) != 0 != want[member] {
						t.Fatalf("page %d reports %v for membership of %d", page, !want[member], member)
					}
				}
			}
		}
	})
}
