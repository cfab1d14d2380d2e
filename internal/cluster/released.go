package cluster

import "dunestand/internal/units"

// maxReleasedMachines bounds the number of machines in a ReleasedMachines.
const maxReleasedMachines = 8192

// ReleasedMachines are the latest machines that this leader released, up to a bound. The cloud
// may list such a machine for a while, and delayed duplicates of its heartbeats can arrive at any
// time; neither may add the machine again as capacity. The map contains the steady time of the
// release by machine ID.
type ReleasedMachines map[string]units.Micros

// Has reports whether the set contains a machine.
func (r ReleasedMachines) Has(id string) bool {
	_, released := r[id]
	return released
}

// Add adds a machine that was released. If the set is full it removes the machine that was
// released first.
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
