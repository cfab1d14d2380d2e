package cluster

import "dunestand/internal/protocol"

// Estimated memory of a live job. Both values are at least twice the memory of the Job itself,
// to include its attempts, write batches in flight and the overhead of the garbage collector.
const (
	estimatedJobBytes    = 13 << 10
	estimatedBitsPerTask = 6 // twice one bit in each of the three sets of tasks
)

// JobMemory returns the estimated memory of a live job, in bytes.
func JobMemory(spec *protocol.JobSpec) int64 {
	return estimatedJobBytes + int64(spec.Tasks)*estimatedBitsPerTask/8
}

// EstimatedMemory returns the estimated memory of all live jobs, in bytes.
func (s *State) EstimatedMemory() int64 { return s.memory }
