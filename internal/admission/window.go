package admission

import (
	"hash/fnv"

	"dunestand/internal/units"
)

// window is the part of the ring that a restriction admits, and since when.
type window struct {
	start uint32
	width uint32
	since units.Micros
}

// minWindowWidth is the least window of a cell that has credit: it bounds the time
// until it has come round.
const minWindowWidth = ringSize / 64

// next returns the window of the next plan: without credit the window stays where it is,
// otherwise it moves on once it has stayed for windowDwell.
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

// windowWidth is the part of the ring on which about as much work waits as may be
// admitted.
func windowWidth(credit, waiting Work) uint32 {
	if waiting <= credit {
		return ringSize
	}
	return max(uint32(float64(ringSize)*float64(credit)/float64(waiting)), minWindowWidth)
}

// ringSize is the number of positions on which job ids are spread evenly. A restriction admits the
// positions in a window that moves around the ring.
const ringSize = 1 << 16

// windowDwell is how long a window stays where it is: longer than users take to come back.
const windowDwell = 4 * units.Second

// position places a job on the ring.
func position(id string) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	// The hash of short ids differs mostly in its low bits; the product spreads these
	// over the high ones.
	const spread = 0x9e3779b97f4a7c15
	return uint32(h.Sum64() * spread >> 48)
}

// admits tells whether a position is in the window.
func (r CellRestriction) admits(position uint32) bool {
	return (position-r.Start)%ringSize < r.Width
}
