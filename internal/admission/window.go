package admission

import (
	"hash/fnv"

	"dunestand/internal/units"
)

// ringSize is the number of positions on the hash ring of job IDs. A restriction admits the
// positions in a window that moves around the ring.
const ringSize = 1 << 16

// windowDwell is how long a window stays in place. It is longer than Decision.RetryAfter of a job
// that the next move of the window reaches, so that the window does not pass the job between two
// retries.
const windowDwell = 4 * units.Second

// window is the part of the ring that a restriction admits.
type window struct {
	start uint32
	width uint32
	since units.Micros // time of the last move, by the clock of Measurement.Now
}

// minWindowWidth is the least width of the window of a flow with credit. It bounds the time
// until the window has covered the whole ring, which bounds the wait of each job.
const minWindowWidth = ringSize / 64

// next returns the window of the next plan. With credit the window moves by its width once it
// has been in place for windowDwell, or at once if it was empty. Without credit it does not
// move, and its dwell time restarts.
func (w window) next(credit, waiting Work, now units.Micros) window {
	switch {
	case credit <= 0:
		w.since = now
	case w.width == 0 || now-w.since >= windowDwell:
		w.start = (w.start + w.width) % ringSize
		w.width = windowWidth(credit, waiting)
		w.since = now
	}
	return w
}

// windowWidth returns the width at which a window contains waiting work of about the credit.
func windowWidth(credit, waiting Work) uint32 {
	if waiting <= credit {
		return ringSize
	}
	return max(uint32(float64(ringSize)*float64(credit)/float64(waiting)), minWindowWidth)
}

// position returns the position of a job on the ring.
func position(id string) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	// The hashes of short IDs differ mostly in the low bits. The multiplication spreads these
	// differences over the high bits, which are the position.
	const spread = 0x9e3779b97f4a7c15
	return uint32(h.Sum64() * spread >> 48)
}

// admits reports whether a position is in the window of the restriction.
func (r FlowRestriction) admits(position uint32) bool {
	return (position-r.Start)%ringSize < r.Width
}
