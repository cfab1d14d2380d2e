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

// KVServer is an in-memory fake of the consensus-backed key-value store. Its exported fields
// inject faults or observe transactions. They must be set before the requests that they affect,
// or under a lock of the caller that excludes such requests.
type KVServer struct {
	mu       sync.Mutex // guards the unexported fields
	items    map[string]protocol.Item
	revision uint64
	commits  int // commit requests received over HTTP that were within the limits

	// RejectRequest selects the requests that get status 503 and have no effect. Calls are
	// serialized. nil: no request.
	RejectRequest func(method, path string) bool
	// DropResponse selects the commits, numbered from 1, that are applied but get no response.
	// nil: no commit.
	DropResponse func(commit int) bool
	// DelayCommit selects the commits, numbered from 1, that get no response and are applied
	// only when ApplyDelayed is called. nil: no commit.
	DelayCommit    func(commit int) bool
	delayedCommits []protocol.Txn

	// BeforeApply, if set, is called with each transaction whose conditions hold, before it is
	// applied. It is called under the server's lock and must not call the server's methods; get
	// reads a key's item from before the transaction.
	BeforeApply func(txn protocol.Txn, get func(key string) (protocol.Item, bool))

	limits       *kvLimits  // nil: no limits
	rejectedTxns int        // transactions over a size limit
	rejectMu     sync.Mutex // held while RejectRequest is called

	changes []protocol.KeyChange // the latest changes, oldest first
	changed chan struct{}        // closed at the next change
}

// maxRetainedChanges is the number of latest changes that a watch is guaranteed to find.
const maxRetainedChanges = 10_000

// conditionsPerOp is the ratio of the limit on a transaction's conditions to the limit on its
// changes.
const conditionsPerOp = 4

// kvLimits are the limits on the size of a transaction and on the rate of changes.
type kvLimits struct {
	maxValueBytes, maxOps int
	writeLimiter          *rate.Limiter // of changes; the burst is one second's worth
}

// NewKVServer returns an empty server without limits.
func NewKVServer() *KVServer {
	return &KVServer{items: map[string]protocol.Item{}, changed: make(chan struct{})}
}

// SetLimits limits later transactions: the size of a value in bytes, the number of changes in a
// transaction and the rate of changes. Stored items over the limit remain readable.
func (s *KVServer) SetLimits(maxValueBytes, maxOps int, writesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &kvLimits{maxValueBytes, maxOps, rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond))}
}

// RejectedTxns returns the number of transactions that were rejected because of their size, not
// because of the write rate.
func (s *KVServer) RejectedTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedTxns
}

// checkLimits returns the HTTP status for a transaction that exceeds a limit; 0: within limits.
func (s *KVServer) checkLimits(txn protocol.Txn) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil {
		return 0
	}
	oversized := slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return len(c.Value) > s.limits.maxValueBytes })
	switch {
	case oversized, len(txn.Then) > s.limits.maxOps, len(txn.If) > conditionsPerOp*s.limits.maxOps:
		s.rejectedTxns++
		return http.StatusBadRequest
	case !s.limits.writeLimiter.AllowN(time.Now(), len(txn.Then)):
		return http.StatusTooManyRequests
	}
	return 0
}

// Keys returns the keys with a prefix in ascending order.
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

// Put writes a key unconditionally, without limits and without calling BeforeApply.
func (s *KVServer) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setLocked(key, value)
}

// Revision returns the store's revision: the number of writes by Put and of transactions that
// were applied.
func (s *KVServer) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get returns the item of a key and reports whether the key exists.
func (s *KVServer) Get(key string) (protocol.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key)
}

func (s *KVServer) getLocked(key string) (protocol.Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Apply applies a transaction atomically and reports whether all conditions held; if one did
// not, nothing changes and the response lists the keys with a version conflict. Limits do not
// apply.
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
		if s.BeforeApply != nil {
			s.BeforeApply(txn, s.getLocked)
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

// ApplyDelayed applies the commits selected by DelayCommit in the order in which they arrived.
func (s *KVServer) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayedCommits
	s.delayedCommits = nil
	s.mu.Unlock()
	for _, txn := range delayed {
		s.Apply(txn)
	}
}

// setLocked sets a key at the current revision.
func (s *KVServer) setLocked(key string, value []byte) {
	s.items[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	s.recordChangeLocked(protocol.KeyChange{Set: key, Value: value, Version: s.revision})
}

// deleteLocked deletes a key at the current revision.
func (s *KVServer) deleteLocked(key string) {
	delete(s.items, key)
	s.recordChangeLocked(protocol.KeyChange{Delete: key, Version: s.revision})
}

// recordChangeLocked retains a change for watches and wakes the waiting ones.
func (s *KVServer) recordChangeLocked(change protocol.KeyChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*maxRetainedChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxRetainedChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
