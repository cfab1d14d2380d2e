package cluster

import "dunestand/internal/protocol"

// What a live job is estimated to take in memory. Both figures are more than twice what a
// job takes by itself, so that there is space for its attempts, the write batches in flight
// and the garbage collector.
const (
	jobBytes    = 13 << 10
	bitsPerTask = 6 // three sets of tasks have a bit for each
)

// JobMemory returns what a job is estimated to take in memory, in bytes.
func JobMemory(spec *protocol.JobSpec) int64 {
	return jobBytes + int64(spec.Tasks)*bitsPerTask/8
}

// EstimatedMemory returns what all live jobs are estimated to take, in bytes.
func (s *State) EstimatedMemory() int64 { return s.memory }
