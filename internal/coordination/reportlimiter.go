package coordination

import (
	"context"
	"runtime"
)

// admission lets workers' reports through one at a time.
//
// Reports make up nearly all of a leader's load. A user's request, a save or the
// renewal of the lease takes several steps, and each step waits behind every goroutine
// that can run already. Without a bound, a processor that has fallen behind has tens
// of reports to run between any two of these steps; with it there is one.
type admission struct{ slot chan struct{} }

func newAdmission() *admission { return &admission{slot: make(chan struct{}, 1)} }

// admit waits until the caller may work on its report. It gives nil if ctx ends first.
func (a *admission) admit(ctx context.Context) *admitted {
	select {
	case a.slot <- struct{}{}:
		return &admitted{admission: a}
	case <-ctx.Done():
		return nil
	}
}

// admitted is the right to work on a report. A nil one is for callers that are not
// bounded: releasing it does nothing.
type admitted struct {
	admission *admission
	released  bool
}

// release lets the next report through, and everything else that can run before it.
// Whoever is about to wait for something releases first. A second call does nothing.
func (t *admitted) release() {
	if t == nil || t.released {
		return
	}
	t.released = true
	<-t.admission.slot
	// The scheduler would run the next report at once, ahead of all that waits.
	runtime.Gosched()
}
