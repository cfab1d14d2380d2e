package kv

import (
	"sync"

	"dunestand/internal/units"
)

// RevisionHistory remembers when this controller first knew of revisions of the key-value
// store. Revisions count all changes there, so a record is at least as old as any
// revision from its own version on. That shows for how long a record has surely been
// durable, without comparing clocks of two machines, whoever wrote it. It may be used
// concurrently.
type RevisionHistory struct {
	clock units.Clock
	keep  units.Micros

	mu           sync.Mutex    // guards observations
	observations []observation // both fields rise
}

type observation struct {
	revision uint64
	at       units.Micros
}

// NewRevisionHistory returns an empty history that tells ages up to keep apart.
func NewRevisionHistory(clock units.Clock, keep units.Micros) *RevisionHistory {
	return &RevisionHistory{clock: clock, keep: keep}
}

// Observe notes that a revision exists.
func (h *RevisionHistory) Observe(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.observations); n > 0 && h.observations[n-1].revision >= revision {
		return
	}
	now := h.clock.Steady()
	h.observations = append(h.observations, observation{revision: revision, at: now})
	// One observation as old as keep answers for all before it.
	old := 0
	for old+1 < len(h.observations) && now-h.observations[old+1].at >= h.keep {
		old++
	}
	h.observations = append(h.observations[:0], h.observations[old:]...)
}

// Age returns for how long a revision has surely existed, at least; 0 if it was never seen.
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
