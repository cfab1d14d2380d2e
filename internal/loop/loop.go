// Package loop has what the controller's loops wait with: a pause that ends early with a context,
// and a signal that wakes a loop.
package loop

import (
	"context"
	"time"

	"dunestand/internal/units"
)

// Signal wakes a loop that receives from it. Raising it again before the loop has received it
// changes nothing. It may be raised and received from concurrently. The zero value blocks its
// receivers for ever; NewSignal returns a usable one.
type Signal chan struct{}

// NewSignal returns a signal that is not raised.
func NewSignal() Signal { return make(Signal, 1) }

// Raise wakes the loop. It never blocks.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Sleep pauses for a duration. It reports whether the whole of it has passed: false means
// that ctx ended first.
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
