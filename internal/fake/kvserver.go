package fake

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/protocol"
)

// KVServer is a fake of the consensus-backed key-value store, in memory. Its exported fields
// inject faults; they are set before requests that they concern, or under the caller's own
// lock.
type KVServer struct {
	mu       sync.Mutex // guards all fields without their own comment
	items    map[string]protocol.Item
	revision uint64
	commits  int // received over HTTP

	// RejectRequest selects requests that are not carried out and get status 503. It is called
	// for one request at a time; nil: none.
	RejectRequest func(method, path string) bool
	// DropResponse selects commits, numbered from 1, that are carried out and get no response;
	// nil: none.
	DropResponse func(commit int) bool
	// DelayCommit selects commits, numbered from 1, that get no response and are carried out by
	// ApplyDelayed; nil: none.
	DelayCommit    func(commit int) bool
	delayedCommits []protocol.Txn

	// OnApply is called with each transaction just before it is carried out, under the
	// server's lock; get reads a key as it was. nil: nothing is called.
	OnApply func(txn protocol.Txn, get func(key string) (protocol.Item, bool))

	limits       *kvLimits // nil: none
	rejectedTxns int
	rejectMu     sync.Mutex // held while RejectRequest is called

	changes []protocol.KeyChange // the latest, in their order
	changed chan struct{}        // closed at the next change
}

// maxRetainedChanges is the number of latest changes that a watch can still read.
const maxRetainedChanges = 10_000

// conditionsPerOp is how many conditions a transaction may have for each change allowed.
const conditionsPerOp = 4

// kvLimits are the limits on transactions.
type kvLimits struct {
	valueBytes, ops int
	writes          *rate.Limiter // of changes a second, with bursts of one second's worth
}

// NewKVServer returns an empty server without limits.
func NewKVServer() *KVServer {
	return &KVServer{items: map[string]protocol.Item{}, changed: make(chan struct{})}
}

// SetLimits sets the largest value in bytes, the most changes in a transaction and the most
// changes a second, from now on. Items that are stored already remain readable.
func (s *KVServer) SetLimits(valueBytes, ops int, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &kvLimits{valueBytes, ops, rate.NewLimiter(rate.Limit(writes), int(writes))}
}

// RejectedTxns counts the transactions that were too large.
func (s *KVServer) RejectedTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedTxns
}

// checkLimits returns the status of a transaction that exceeds the limits, 0 for any other.
func (s *KVServer) checkLimits(txn protocol.Txn) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil {
		return 0
	}
	large := slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return len(c.Value) > s.limits.valueBytes })
	switch {
	case large, len(txn.Then) > s.limits.ops, len(txn.If) > conditionsPerOp*s.limits.ops:
		s.rejectedTxns++
		return http.StatusBadRequest
	case !s.limits.writes.AllowN(time.Now(), len(txn.Then)):
		return http.StatusTooManyRequests
	}
	return 0
}

// Keys returns the keys with a prefix, in their order.
func (s *KVServer) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Put writes a key unconditionally.
func (s *KVServer) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setLocked(key, value)
}

// Revision returns the number of transactions that were carried out.
func (s *KVServer) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get reads a key and reports whether it exists.
func (s *KVServer) Get(key string) (protocol.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key)
}

func (s *KVServer) getLocked(key string) (protocol.Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Apply carries a transaction out, whole or not at all. It reports whether all conditions
// held.
func (s *KVServer) Apply(txn protocol.Txn) (protocol.TxnResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response protocol.TxnResponse
	for _, condition := range txn.If {
		if s.items[condition.Key].Version != condition.Version {
			response.Failed = append(response.Failed, condition.Key)
		}
	}
	if len(response.Failed) == 0 {
		if s.OnApply != nil {
			s.OnApply(txn, s.getLocked)
		}
		s.revision++
		for _, change := range txn.Then {
			if change.Delete != "" {
				s.deleteLocked(change.Delete)
			} else {
				s.setLocked(change.Set, change.Value)
			}
		}
	}
	response.Revision = s.revision
	return response, len(response.Failed) == 0
}

// ApplyDelayed carries out the delayed commits, in their order.
func (s *KVServer) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayedCommits
	s.delayedCommits = nil
	s.mu.Unlock()
	for _, txn := range delayed {
		s.Apply(txn)
	}
}

// setLocked sets a key in the current revision.
func (s *KVServer) setLocked(key string, value []byte) {
	s.items[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	s.recordChangeLocked(protocol.KeyChange{Set: key, Value: value, Version: s.revision})
}

// deleteLocked deletes a key in the current revision.
func (s *KVServer) deleteLocked(key string) {
	delete(s.items, key)
	s.recordChangeLocked(protocol.KeyChange{Delete: key, Version: s.revision})
}

// recordChangeLocked retains a change for watches and wakes them.
func (s *KVServer) recordChangeLocked(change protocol.KeyChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*maxRetainedChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxRetainedChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
