package coordination

import "dunestand/internal/units"

// maxReleasedMachines bounds the released machines that are remembered.
const maxReleasedMachines = 8192

// releasedMachines remembers the machines that were released in this term, the latest
// ones if they are too many. Such a machine may still be listed for a while, and copies
// of its reports may come at any time: they must not bring it back with room for work.
type releasedMachines map[string]units.Micros // when each was released

func (r releasedMachines) has(id string) bool {
	_, released := r[id]
	return released
}

func (r releasedMachines) add(id string, now units.Micros) {
	if len(r) >= maxReleasedMachines && !r.has(id) {
		delete(r, r.oldest())
	}
	r[id] = now
}

func (r releasedMachines) oldest() string {
	oldest := ""
	for id, at := range r {
		if oldest == "" || at < r[oldest] {
			oldest = id
		}
	}
	return oldest
}
