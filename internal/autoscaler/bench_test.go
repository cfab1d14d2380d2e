package autoscaler

import (
	"fmt"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// BenchmarkCheckRoom measures the check for room of 300 waiting jobs while the largest fleet boots.
func BenchmarkCheckRoom(b *testing.B) {
	f := newSimulatedFleet(b, 100_000, map[Offering]int{})
	for number := range largestFleet {
		id := fmt.Sprintf("i-%06d", number)
		f.as.State.EnsureMachine(id, "large", []string{"a", "b"}[number%2], true, f.clock.Now)
	}
	for number := range 300 {
		f.submit(protocol.JobSpec{
			ID:        fmt.Sprintf("j-%06d", number),
			Tasks:     300,
			Request:   fake.CPUs(1 + number%4),
			AllowSpot: true,
		}, units.Second)
	}
	f.as.Scheduler.RunCycle(f.clock.Now, nil)
	for b.Loop() {
		f.as.checkRoom(f.clock.Now)
	}
}
