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

// Whoever waits for a change is woken by the write that holds it, also if that is refused
// first, and not by a write before it.
func TestWaitersAreWokenByTheWriteOfTheirChange(t *testing.T) {
	w := newWriteState()
	w.mark(1, true)
	first := w.durableSignal()
	waiters := w.takeWaiters()
	w.due, w.inFlight = false, true
	w.mark(2, false)
	second := w.durableSignal()

	w.refused(waiters, 3)
	if isClosed(first) || isClosed(second) || !w.due || w.inFlight || !w.urgent {
		t.Fatalf("after the refusal: %+v", w)
	}
	waiters = w.takeWaiters()
	w.due, w.inFlight = false, true
	if w.durableSignal() != second {
		t.Error("a write in flight that holds all changes is not what is waited for")
	}
	w.committed()
	for _, waiter := range waiters {
		close(waiter)
	}
	if !isClosed(first) || !isClosed(second) || isClosed(w.durableSignal()) {
		t.Error("not exactly those whose change is written are woken")
	}
}
