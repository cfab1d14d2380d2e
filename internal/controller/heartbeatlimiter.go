package controller

import (
	"context"
	"runtime"
)

// heartbeatLimiter limits the handling of heartbeats to one at a time. It is safe for
// concurrent use.
//
// Heartbeats are nearly all of a leader's load. A user's request, a write batch and a lease
// renewal each take several steps, and each step waits behind every runnable goroutine. Without
// the limit, an overloaded CPU runs tens of heartbeats between two such steps; with it,
// one.
type heartbeatLimiter struct{ slot chan struct{} }

func newHeartbeatLimiter() *heartbeatLimiter { return &heartbeatLimiter{slot: make(chan struct{}, 1)} }

// acquire waits until the caller may handle its heartbeat. It returns nil if ctx ends first.
func (l *heartbeatLimiter) acquire(ctx context.Context) *heartbeatSlot {
	select {
	case l.slot <- struct{}{}:
		return &heartbeatSlot{limiter: l}
	case <-ctx.Done():
		return nil
	}
}

// heartbeatSlot is the permission to handle one heartbeat. A nil slot is valid, for callers
// that are not limited: releasing it does nothing. A slot is not safe for concurrent use.
type heartbeatSlot struct {
	limiter  *heartbeatLimiter
	released bool
}

// release lets the next heartbeat proceed, after all other goroutines that are already
// runnable. Call it before blocking. A second call does nothing.
func (s *heartbeatSlot) release() {
	if s == nil || s.released {
		return
	}
	s.released = true
	<-s.limiter.slot
	// Without yielding, the Go scheduler would run the next heartbeat at once, ahead of the
	// other runnable goroutines.
	runtime.Gosched()
}
