package cluster

import "dunestand/internal/protocol"

// What a live job is reckoned to take in memory. Both figures are more than twice what a
// job takes by itself, so that room is left for its attempts, the saves on their way and
// the collector.
const (
	jobBytes    = 13 << 10
	bitsPerTask = 6 // three sets of tasks have a bit for each
)

// JobMemory is what a job is reckoned to take in memory, in bytes.
func JobMemory(spec *protocol.JobSpec) int64 {
	return jobBytes + int64(spec.Tasks)*bitsPerTask/8
}

// Memory is what all live jobs are reckoned to take, in bytes.
func (l *State) Memory() int64 { return l.memory }
