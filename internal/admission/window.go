package admission

import (
	"hash/fnv"

	"dunestand/internal/units"
)

// ringSize is the number of positions of the ring on which the IDs of jobs are spread evenly.
// A restriction admits the positions in a window that moves around the ring.
const ringSize = 1 << 16

// windowDwell is how long a window stays where it is: longer than users take to retry.
const windowDwell = 4 * units.Second

// window is the part of the ring that a restriction admits, and since when.
type window struct {
	start uint32
	width uint32
	since units.Micros // by the clock of Measurement.Now
}

// minWindowWidth is the least width of the window of a flow with credit. It bounds the time in
// which a window goes once round the ring.
const minWindowWidth = ringSize / 64

// next returns the window of the next plan. Without credit it stays where it is, otherwise it
// moves on once it has stayed for windowDwell.
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

// windowWidth returns the width of a window whose part of the waiting work is about the
// credit.
func windowWidth(credit, waiting Work) uint32 {
	if waiting <= credit {
		return ringSize
	}
	return max(uint32(float64(ringSize)*float64(credit)/float64(waiting)), minWindowWidth)
}

// position returns the place of a job on the ring.
func position(id string) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	// The hashes of short IDs differ mostly in the low bits; the product spreads these over
	// the high ones.
	const spread = 0x9e3779b97f4a7c15
	return uint32(h.Sum64() * spread >> 48)
}

// admits reports whether a position is in the window.
func (r FlowRestriction) admits(position uint32) bool {
	return (position-r.Start)%ringSize < r.Width
}
