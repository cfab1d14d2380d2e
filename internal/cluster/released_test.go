package cluster

import (
	"fmt"
	"testing"

	"dunestand/internal/units"
)

// The machines that were released last are remembered; their number is bounded.
func TestReleasedMachinesAreBounded(t *testing.T) {
	released := ReleasedMachines{}
	const more = 100
	for i := range maxReleasedMachines + more {
		released.Add(fmt.Sprintf("i-%06d", i), units.Micros(i))
	}
	if len(released) != maxReleasedMachines {
		t.Fatalf("%d are remembered", len(released))
	}
	for i := range maxReleasedMachines + more {
		if remembered := released.Has(fmt.Sprintf("i-%06d", i)); remembered != (i >= more) {
			t.Fatalf("machine %d is remembered: %v", i, remembered)
		}
	}
	released.Add(fmt.Sprintf("i-%06d", more), units.Micros(maxReleasedMachines+more))
	if len(released) != maxReleasedMachines {
		t.Error("one that is known already takes the place of another")
	}
}
