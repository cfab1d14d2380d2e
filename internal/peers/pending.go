package peers

import (
	"sync"

	"dunestand/internal/protocol"
)

// pingID is the id of all pings; requests have others.
const pingID = 0

// pendingRequests are the requests on one link that wait for their responses. It may be used
// concurrently.
type pendingRequests struct {
	mu        sync.Mutex
	responses map[uint64]chan protocol.Frame
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: map[uint64]chan protocol.Frame{}}
}

// add notes a request. The channel receives its response, or is closed if the connection is
// lost.
func (r *pendingRequests) add(id uint64) <-chan protocol.Frame {
	response := make(chan protocol.Frame, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[id] = response
	return response
}

// remove forgets a request that is not waited for any more.
func (r *pendingRequests) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.responses, id)
}

// resolve passes a response on to its request, if that still waits.
func (r *pendingRequests) resolve(frame protocol.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response := r.responses[frame.ID]; response != nil {
		delete(r.responses, frame.ID)
		response <- frame // has room for one
	}
}

// abort ends all requests: the connection that they were sent on is lost.
func (r *pendingRequests) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, response := range r.responses {
		delete(r.responses, id)
		close(response)
	}
}
