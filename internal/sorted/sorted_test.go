package sorted

import (
	"slices"
	"testing"
)

func TestKeysAreAscending(t *testing.T) {
	if got := Keys(map[string]int{"b": 1, "": 2, "c": 3, "a": 4}); !slices.Equal(got, []string{"", "a", "b", "c"}) {
		t.Errorf("got keys %q, want them in ascending order", got)
	}
	if got := Keys(map[string]int(nil)); len(got) != 0 {
		t.Errorf("got keys %q of a nil map", got)
	}
}
