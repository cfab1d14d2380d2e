package admission

import (
	"encoding/json"
	"errors"
)

// ErrTooLarge reports a plan that does not fit into one value of the key-value store.
var ErrTooLarge = errors.New("admission plan does not fit into one value of the key-value store")

// size returns the size of the record in bytes as the key-value store counts it.
func (r *record) size() int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return len(raw)
}

// coarsen drops detail: the classes of the team with the most restricted flows get one
// restriction together, or else the queue of large jobs is cut in half. It reports whether
// there was anything left to drop.
func (r *record) coarsen() bool {
	count := map[int]int{}
	crowded := -1
	for _, c := range r.Flows {
		if c.Class == "" {
			continue
		}
		count[c.TeamIndex]++
		if crowded < 0 || count[c.TeamIndex] > count[crowded] {
			crowded = c.TeamIndex
		}
	}
	if crowded >= 0 {
		r.mergeClasses(crowded)
		return true
	}
	if len(r.QueueHeads) > 1 {
		r.QueueHeads = r.QueueHeads[:len(r.QueueHeads)/2]
		return true
	}
	return false
}

// mergeClasses gives a team one restriction in each band instead of one in each class.
func (r *record) mergeClasses(team int) {
	merged := map[Band]*flowRecord{}
	var kept []flowRecord
	for _, c := range r.Flows {
		if c.TeamIndex != team {
			kept = append(kept, c)
			continue
		}
		m := merged[c.Band]
		if m == nil {
			c.Class = ""
			merged[c.Band] = &c
			continue
		}
		m.Width = min(m.Width, c.Width)
		m.VersionQuota += c.VersionQuota
	}
	for band := range Band(numBands) {
		if m := merged[band]; m != nil {
			kept = append(kept, *m)
		}
	}
	r.Flows = kept
}
