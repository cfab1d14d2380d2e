// Package standin has small stand-ins for the systems around a controller,
// for tests.
package standin

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/protocol"
)

// State is a state service in memory.
type State struct {
	mu       sync.Mutex
	items    map[string]protocol.Item
	revision uint64
	commits  int

	// Refuse answers a request with 503 without carrying it out.
	Refuse func(method, path string) bool
	// Silent carries a commit out and then does not answer it.
	Silent func(commit int) bool
	// Late holds a commit back, unanswered, until Flush carries it out.
	Late           func(commit int) bool
	delayedCommits []protocol.Txn

	// Applied is told of each transaction that is carried out, just before it is; get
	// reads a key as it was.
	OnApply func(txn protocol.Txn, get func(key string) (protocol.Item, bool))

	limits       *kvLimits
	rejectedTxns int
	rejectMu     sync.Mutex

	changes []protocol.KeyChange
	changed chan struct{} // closed at the next change
}

// changesKept is how many changes are kept for those who watch.
const maxRetainedChanges = 10_000

// stateLimits is what the service takes.
type kvLimits struct {
	valueBytes, ops int
	writes          *rate.Limiter
}

// Limit has the service take values of so many bytes, so many changes in a
// transaction and so many a second from now on. What is stored stays readable.
func (s *State) Limit(valueBytes, ops int, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &kvLimits{valueBytes, ops, rate.NewLimiter(rate.Limit(writes), int(writes))}
}

// Rejected counts the transactions that were beyond the limits.
func (s *State) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedTxns
}

// refused gives the status of a transaction that is beyond the limits, 0 if it
// is not.
func (s *State) checkLimits(txn protocol.Txn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil {
		return 0
	}
	large := slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return len(c.Value) > s.limits.valueBytes })
	switch {
	case large, len(txn.Then) > s.limits.ops, len(txn.If) > 4*s.limits.ops:
		s.rejectedTxns++
		return http.StatusBadRequest
	case !s.limits.writes.AllowN(time.Now(), len(txn.Then)):
		return http.StatusTooManyRequests
	}
	return 0
}

// NewState makes an empty state service.
func NewState() *State {
	return &State{items: map[string]protocol.Item{}, changed: make(chan struct{})}
}

// note keeps a change for those who watch, under the lock.
func (s *State) recordChange(change protocol.KeyChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*maxRetainedChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxRetainedChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince gives the changes of keys with a prefix after a revision, and what is
// closed at the next change; false: they are not all kept.
func (s *State) changesSince(prefix string, from uint64) (protocol.ChangeList, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := protocol.ChangeList{Revision: s.revision, Changes: []protocol.KeyChange{}}
	if len(s.changes) >= maxRetainedChanges && s.changes[0].Version > from+1 {
		return list, nil, false
	}
	for _, c := range s.changes {
		if c.Version > from && strings.HasPrefix(c.Set+c.Delete, prefix) {
			list.Changes = append(list.Changes, c)
		}
	}
	return list, s.changed, true
}

// serveChanges answers a watch once something has changed, or its time is over.
func (s *State) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, waitErr := strconv.Atoi(cmp.Or(query.Get("wait_ms"), "0"))
	if err != nil || waitErr != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		list, changed, kept := s.changesSince(query.Get("prefix"), from)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list.Changes) > 0 || expired {
			reply(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// Keys lists the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Put writes a key, whatever its version.
func (s *State) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	s.recordChange(protocol.KeyChange{Set: key, Value: value, Version: s.revision})
}

// Revision counts the transactions that were carried out.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get reads a key.
func (s *State) Get(key string) (protocol.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Apply carries a transaction out.
func (s *State) Apply(txn protocol.Txn) (protocol.TxnAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response protocol.TxnAnswer
	for _, condition := range txn.If {
		if s.items[condition.Key].Version != condition.Version {
			response.Failed = append(response.Failed, condition.Key)
		}
	}
	if len(response.Failed) == 0 {
		if s.OnApply != nil {
			s.OnApply(txn, func(key string) (protocol.Item, bool) {
				item, ok := s.items[key]
				return item, ok
			})
		}
		s.revision++
		for _, condition := range txn.Then {
			if condition.Delete != "" {
				delete(s.items, condition.Delete)
				s.recordChange(protocol.KeyChange{Delete: condition.Delete, Version: s.revision})
			} else {
				s.items[condition.Set] = protocol.Item{Key: condition.Set, Value: condition.Value, Version: s.revision}
				s.recordChange(protocol.KeyChange{Set: condition.Set, Value: condition.Value, Version: s.revision})
			}
		}
	}
	response.Revision = s.revision
	return response, len(response.Failed) == 0
}

// Flush carries out the commits that were held back.
func (s *State) Flush() {
	s.mu.Lock()
	held := s.delayedCommits
	s.delayedCommits = nil
	s.mu.Unlock()
	for _, txn := range held {
		s.Apply(txn)
	}
}

// ServeHTTP implements the parts of the protocol that controllers use.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.rejects(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == protocol.PathCommit:
		body, _ := io.ReadAll(r.Body)
		var txn protocol.Txn
		if protocol.Decode(body, &txn) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if status := s.checkLimits(txn); status != 0 {
			w.WriteHeader(status)
			return
		}
		s.mu.Lock()
		s.commits++
		n := s.commits
		delayed := s.Late != nil && s.Late(n)
		if delayed {
			s.delayedCommits = append(s.delayedCommits, txn)
		}
		s.mu.Unlock()
		if delayed {
			panic(http.ErrAbortHandler)
		}
		response, ok := s.Apply(txn)
		if s.Silent != nil && s.Silent(n) {
			panic(http.ErrAbortHandler)
		}
		reply(w, status(ok, http.StatusConflict), response)
	case r.URL.Path == protocol.PathChanges:
		s.serveChanges(w, r)
	case r.URL.Path == protocol.PathKeys:
		revision := s.Revision() // before the keys: what changes meanwhile is told again
		list := protocol.ItemList{Items: []protocol.Item{}}
		for _, k := range s.Keys(r.URL.Query().Get("prefix")) {
			if item, ok := s.Get(k); ok && k > r.URL.Query().Get("from") {
				list.Items = append(list.Items, item)
			}
		}
		list.Revision = revision
		reply(w, http.StatusOK, list)
	default:
		item, ok := s.Get(strings.TrimPrefix(r.URL.Path, protocol.PathKeys+"/"))
		reply(w, status(ok, http.StatusNotFound), item)
	}
}

// refuses asks Refuse, for one request at a time.
func (s *State) rejects(r *http.Request) bool {
	s.rejectMu.Lock()
	defer s.rejectMu.Unlock()
	return s.Refuse != nil && s.Refuse(r.Method, r.URL.Path)
}

func status(ok bool, otherwise int) int {
	if ok {
		return http.StatusOK
	}
	return otherwise
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(body))
}
