package coordination

import (
	"context"
	"runtime"
)

// reportLimiter lets workers' reports through one at a time.
//
// Reports make up nearly all of a leader's load. A user's request, a save or the
// renewal of the lease takes several steps, and each step waits behind every goroutine
// that can run already. Without a bound, a processor that has fallen behind has tens
// of reports to run between any two of these steps; with it there is one.
type reportLimiter struct{ slot chan struct{} }

func newReportLimiter() *reportLimiter { return &reportLimiter{slot: make(chan struct{}, 1)} }

// acquire waits until the caller may work on its report. It gives nil if ctx ends first.
func (l *reportLimiter) acquire(ctx context.Context) *reportSlot {
	select {
	case l.slot <- struct{}{}:
		return &reportSlot{limiter: l}
	case <-ctx.Done():
		return nil
	}
}

// reportSlot is the right to work on a report. A nil one is for callers that are not
// bounded: releasing it does nothing.
type reportSlot struct {
	limiter  *reportLimiter
	released bool
}

// release lets the next report through, and everything else that can run before it.
// Whoever is about to wait for something releases first. A second call does nothing.
func (s *reportSlot) release() {
	if s == nil || s.released {
		return
	}
	s.released = true
	<-s.limiter.slot
	// The scheduler would run the next report at once, ahead of all that waits.
	runtime.Gosched()
}
