// Package loop provides the wait primitives of the controller's background loops: Signal, which wakes
// a loop, and Sleep, a pause that ends early if a context ends.
package loop

import (
	"context"
	"time"

	"dunestand/internal/units"
)

// Signal wakes a loop that receives from it. Signals raised before the loop receives are merged into
// one. It is safe for concurrent use. Receiving from the zero value blocks forever; create a Signal
// with NewSignal.
type Signal chan struct{}

// NewSignal returns a signal that is not raised.
func NewSignal() Signal { return make(Signal, 1) }

// Raise wakes the loop that receives from the signal, now or when it next receives. It never blocks.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Sleep pauses for the duration d. It returns true after d has passed, and false if ctx ends first.
func Sleep(ctx context.Context, d units.Micros) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
