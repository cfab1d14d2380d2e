package admission

import (
	"encoding/json"
	"errors"
)

// ErrTooLarge reports a plan whose coarsest record exceeds the size limit of a value in the
// key-value store.
var ErrTooLarge = errors.New("admission plan does not fit into one value of the key-value store")

// size returns the size of the record in bytes as the key-value store counts it.
func (r *record) size() int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return len(raw)
}

// coarsen makes the record smaller. It merges the restrictions of the classes of the team with
// the most of them. If no team has restricted classes, it drops half of the queue heads. It
// reports whether the record could be made smaller.
func (r *record) coarsen() bool {
	count := map[int]int{}
	mostRestricted := -1
	for _, f := range r.Flows {
		if f.Class == "" {
			continue
		}
		count[f.TeamIndex]++
		if mostRestricted < 0 || count[f.TeamIndex] > count[mostRestricted] {
			mostRestricted = f.TeamIndex
		}
	}
	if mostRestricted >= 0 {
		r.mergeClasses(mostRestricted)
		return true
	}
	if len(r.QueueHeads) > 1 {
		r.QueueHeads = r.QueueHeads[:len(r.QueueHeads)/2]
		return true
	}
	return false
}

// mergeClasses replaces the restrictions of a team's classes by one restriction for each band,
// with the least of their window widths and the sum of their version quotas.
func (r *record) mergeClasses(team int) {
	merged := map[Band]*flowRecord{}
	var kept []flowRecord
	for _, f := range r.Flows {
		if f.TeamIndex != team {
			kept = append(kept, f)
			continue
		}
		m := merged[f.Band]
		if m == nil {
			f.Class = ""
			merged[f.Band] = &f
			continue
		}
		m.Width = min(m.Width, f.Width)
		m.VersionQuota += f.VersionQuota
	}
	for band := range Band(numBands) {
		if m := merged[band]; m != nil {
			kept = append(kept, *m)
		}
	}
	r.Flows = kept
}
