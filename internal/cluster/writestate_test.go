package cluster

import "testing"

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// A waiter is woken by the write that contains its change, also if an earlier request for that
// write was aborted, and not by the write of earlier changes.
func TestWaitersAreWokenByTheWriteOfTheirChange(t *testing.T) {
	w := newWriteState()
	w.mark(1, true)
	first := w.durableSignal()
	waiters := w.takeWaiters()
	w.due, w.inFlight = false, true
	w.mark(2, false)
	second := w.durableSignal()

	w.aborted(waiters, 3)
	if isClosed(first) || isClosed(second) || !w.due || w.inFlight || !w.urgent {
		t.Fatalf("after the abort: %+v", w)
	}
	waiters = w.takeWaiters()
	w.due, w.inFlight = false, true
	if w.durableSignal() != second {
		t.Error("the signal is not that of the write in flight, which contains all changes")
	}
	w.committed()
	for _, waiter := range waiters {
		close(waiter)
	}
	if !isClosed(first) || !isClosed(second) || isClosed(w.durableSignal()) {
		t.Error("the woken waiters are not exactly those whose changes are written")
	}
}
