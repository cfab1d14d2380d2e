package cluster

import "dunestand/internal/units"

// writeState is how far the changes of a job are from being durable: whether a write is due,
// whether one is in flight, and who waits for either.
type writeState struct {
	due    bool // something is to be written
	urgent bool // and at once
	since  units.Micros

	inFlight    bool
	endInFlight bool // the write in flight holds the job's terminal state or cancellation
	alone       bool // not to be written together with other jobs

	durable         chan struct{}   // closed when the write that is due is carried out
	durableInFlight chan struct{}   // closed when the write in flight is carried out
	refusedWaiters  []chan struct{} // likewise, from writes that were refused
}

func newWriteState() writeState { return writeState{durable: make(chan struct{})} }

// mark notes that a write is due; at once if urgent.
func (w *writeState) mark(now units.Micros, urgent bool) {
	if !w.due {
		w.due, w.since = true, now
	}
	w.urgent = w.urgent || urgent
}

// durableSignal returns a channel that is closed once all changes made until now are durable.
func (w *writeState) durableSignal() <-chan struct{} {
	if w.inFlight && !w.due {
		return w.durableInFlight // the write in flight has it all
	}
	return w.durable
}

// wakeAll closes the channels of all that wait for the write that is due.
func (w *writeState) wakeAll() {
	for _, waiter := range append(w.refusedWaiters, w.durable) {
		close(waiter)
	}
}

// nothingDue notes that there is nothing to be written after all.
func (w *writeState) nothingDue() {
	w.due, w.urgent = false, false
	w.wakeAll()
	w.refusedWaiters, w.durable = nil, make(chan struct{})
}

// takeWaiters hands those that wait for the write that is due to the batch that is being
// built: what changes later waits for the next one.
func (w *writeState) takeWaiters() []chan struct{} {
	waiters := append(w.refusedWaiters, w.durable)
	w.refusedWaiters, w.durableInFlight, w.durable = nil, w.durable, make(chan struct{})
	return waiters
}

// committed notes that the write in flight was carried out.
func (w *writeState) committed() { w.inFlight, w.endInFlight, w.alone = false, false, false }

// refused notes that the write in flight was not carried out: its changes are due again, and
// its waiters wait on.
func (w *writeState) refused(waiters []chan struct{}, now units.Micros) {
	w.inFlight, w.endInFlight = false, false
	w.mark(now, true)
	w.refusedWaiters = append(w.refusedWaiters, waiters...)
}
