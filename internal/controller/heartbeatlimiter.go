package controller

import (
	"context"
	"runtime"
)

// heartbeatLimiter lets workers' heartbeats through one at a time. It may be used
// concurrently.
//
// Heartbeats make up nearly all of a leader's load. A user's request, a write batch or the
// renewal of the lease takes several steps, and each step waits behind every goroutine
// that can run already. Without a bound, a processor that has fallen behind has tens
// of heartbeats to run between any two of these steps; with it there is one.
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

// heartbeatSlot is the right to handle a heartbeat. A nil slot is for callers that are not
// limited: releasing it does nothing. It must not be used concurrently.
type heartbeatSlot struct {
	limiter  *heartbeatLimiter
	released bool
}

// release lets the next heartbeat through, and everything else that can run before it.
// Whoever is about to wait for something releases first. A second call does nothing.
func (s *heartbeatSlot) release() {
	if s == nil || s.released {
		return
	}
	s.released = true
	<-s.limiter.slot
	// The Go scheduler would run the next heartbeat at once, ahead of all that waits.
	runtime.Gosched()
}
