package peers

import (
	"sync"

	"dunestand/internal/protocol"
)

// pingID is the frame ID of all pings. Requests have IDs from 1.
const pingID = 0

// pendingRequests holds the requests on one link that wait for a response. It is safe for concurrent
// use.
type pendingRequests struct {
	mu        sync.Mutex
	responses map[uint64]chan protocol.Frame
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: map[uint64]chan protocol.Frame{}}
}

// add registers a request. The returned channel receives the response, or is closed if the
// connection is lost.
func (r *pendingRequests) add(id uint64) <-chan protocol.Frame {
	response := make(chan protocol.Frame, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[id] = response
	return response
}

// remove drops a request whose response is no longer needed.
func (r *pendingRequests) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.responses, id)
}

// resolve delivers a response to its request. It drops the response if the request is not pending.
func (r *pendingRequests) resolve(frame protocol.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response := r.responses[frame.ID]; response != nil {
		delete(r.responses, frame.ID)
		response <- frame // does not block: the channel has a buffer of one frame
	}
}

// abort closes the channels of all pending requests, after the connection was lost.
func (r *pendingRequests) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, response := range r.responses {
		delete(r.responses, id)
		close(response)
	}
}
