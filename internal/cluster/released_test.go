package cluster

import (
	"fmt"
	"testing"

	"dunestand/internal/units"
)

// The set of released machines must not grow without bound: it keeps the latest ones.
func TestReleasedMachinesAreBounded(t *testing.T) {
	released := ReleasedMachines{}
	const more = 100
	for i := range maxReleasedMachines + more {
		released.Add(fmt.Sprintf("i-%06d", i), units.Micros(i))
	}
	if len(released) != maxReleasedMachines {
		t.Fatalf("%d machines are kept", len(released))
	}
	for i := range maxReleasedMachines + more {
		if kept := released.Has(fmt.Sprintf("i-%06d", i)); kept != (i >= more) {
			t.Fatalf("machine %d is kept: %v", i, kept)
		}
	}
	released.Add(fmt.Sprintf("i-%06d", more), units.Micros(maxReleasedMachines+more))
	if len(released) != maxReleasedMachines {
		t.Error("adding a known machine evicted another")
	}
}
