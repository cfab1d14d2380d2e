package cluster

import "dunestand/internal/units"

// maxReleasedMachines bounds the released machines that are remembered.
const maxReleasedMachines = 8192

// ReleasedMachines remembers the machines that were released in this term, the latest
// ones if they are too many. Such a machine may still be listed for a while, and copies
// of its reports may come at any time: they must not bring it back with room for work.
type ReleasedMachines map[string]units.Micros // when each was released

func (r ReleasedMachines) Has(id string) bool {
	_, released := r[id]
	return released
}

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
