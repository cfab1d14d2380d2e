package cluster

import "dunestand/internal/units"

// maxReleasedMachines bounds the released machines that are remembered.
const maxReleasedMachines = 8192

// ReleasedMachines remembers the machines that were released under this leader, the latest
// ones if they are too many. Such a machine may still be listed for a while, and copies
// of its heartbeats may come at any time: they must not bring it back with capacity for work.
type ReleasedMachines map[string]units.Micros // when each was released

// Has reports whether a machine is known to have been released.
func (r ReleasedMachines) Has(id string) bool {
	_, released := r[id]
	return released
}

// Add notes that a machine was released. The machine released first is forgotten if there are
// too many.
func (r ReleasedMachines) Add(id string, now units.Micros) {
	if len(r) >= maxReleasedMachines && !r.Has(id) {
		delete(r, r.oldest())
	}
	r[id] = now
}

func (r ReleasedMachines) oldest() string {
	oldest := ""
	for id, at := range r {
		if oldest == "" || at < r[oldest] {
			oldest = id
		}
	}
	return oldest
}
