package cluster

import "dunestand/internal/units"

// writeState tracks a job's changes until they are durable: whether a write is due, whether one
// is in flight, and the channels on which requests wait for either.
type writeState struct {
	due    bool         // there are changes to be written
	urgent bool         // they are not delayed to coalesce changes
	since  units.Micros // steady time since which a write is due

	inFlight    bool
	endInFlight bool // the write in flight contains the job's terminal state or cancellation
	alone       bool // the next write must not share a batch with other jobs

	durable         chan struct{}   // closed when the due write is committed
	durableInFlight chan struct{}   // closed when the write in flight is committed
	abortedWaiters  []chan struct{} // channels of aborted writes, closed with durable
}

func newWriteState() writeState { return writeState{durable: make(chan struct{})} }

// mark marks a write as due. An urgent write is not delayed to coalesce changes.
func (w *writeState) mark(now units.Micros, urgent bool) {
	if !w.due {
		w.due, w.since = true, now
	}
	w.urgent = w.urgent || urgent
}

// durableSignal returns a channel that is closed once all changes made so far are durable.
func (w *writeState) durableSignal() <-chan struct{} {
	if w.inFlight && !w.due {
		return w.durableInFlight // the write in flight contains all changes
	}
	return w.durable
}

// wakeWaiters closes the channels of the due write. The caller must replace or drop them.
func (w *writeState) wakeWaiters() {
	for _, waiter := range append(w.abortedWaiters, w.durable) {
		close(waiter)
	}
}

// clearDue cancels the due write of a job that has nothing to be written, and wakes its
// waiters.
func (w *writeState) clearDue() {
	w.due, w.urgent = false, false
	w.wakeWaiters()
	w.abortedWaiters, w.durable = nil, make(chan struct{})
}

// takeWaiters returns the channels of the due write, which the caller must close once the batch
// with that write is committed. Waiters for later changes get a new channel.
func (w *writeState) takeWaiters() []chan struct{} {
	waiters := append(w.abortedWaiters, w.durable)
	w.abortedWaiters, w.durableInFlight, w.durable = nil, w.durable, make(chan struct{})
	return waiters
}

// committed records that the write in flight was committed.
func (w *writeState) committed() { w.inFlight, w.endInFlight, w.alone = false, false, false }

// aborted records that the write in flight was not committed. Its changes become due again,
// urgently, and its waiters wait for the next write.
func (w *writeState) aborted(waiters []chan struct{}, now units.Micros) {
	w.inFlight, w.endInFlight = false, false
	w.mark(now, true)
	w.abortedWaiters = append(w.abortedWaiters, waiters...)
}
