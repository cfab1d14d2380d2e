package kv

import (
	"sync"

	"dunestand/internal/units"
)

// RevisionHistory stores when this controller first saw recent revisions of the key-value store.
// The store's revision rises with every change, and a record's version is the revision of its last
// change. So once a revision at or above a record's version has been seen, the record is durable.
// This gives a lower bound for how long a record has been durable, whichever controller wrote it,
// without comparing clocks of different machines. It may be used concurrently.
type RevisionHistory struct {
	clock     units.Clock
	retention units.Micros

	mu           sync.Mutex    // guards observations
	observations []observation // both fields increase
}

type observation struct {
	revision uint64
	at       units.Micros
}

// NewRevisionHistory returns an empty history. It measures ages up to retention exactly; larger ages
// are reported as some value from retention up to the true age.
func NewRevisionHistory(clock units.Clock, retention units.Micros) *RevisionHistory {
	return &RevisionHistory{clock: clock, retention: retention}
}

// Observe records that revision exists at this moment.
func (h *RevisionHistory) Observe(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.observations); n > 0 && h.observations[n-1].revision >= revision {
		return
	}
	now := h.clock.Steady()
	h.observations = append(h.observations, observation{revision: revision, at: now})
	// Of the observations at least as old as retention, only the newest is needed.
	old := 0
	for old+1 < len(h.observations) && now-h.observations[old+1].at >= h.retention {
		old++
	}
	h.observations = append(h.observations[:0], h.observations[old:]...)
}

// Age returns a lower bound for the time for which revision has existed; 0 if neither it nor a later
// revision has been seen.
func (h *RevisionHistory) Age(revision uint64) units.Micros {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.observations {
		if o.revision >= revision {
			return h.clock.Steady() - o.at
		}
	}
	return 0
}
