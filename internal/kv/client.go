// Package kv is the client of the consensus-backed key-value store in which the
// controllers keep their records. It keeps a node within its share of the store's request
// and write rates, and tells apart the outcomes of a request: carried out, refused,
// in conflict with another version, or unknown.
package kv

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Outcomes of a request to the state service that are not success.
var (
	// ErrRefused: the request was not carried out.
	ErrRefused = errors.New("state service refused")
	// ErrUncertain: it may have been carried out, or may be still.
	ErrUncertain = errors.New("state service did not answer")
	// ErrRejected: it was not carried out, and will not be as it is.
	ErrRejected = errors.New("state service does not take the request")
)

// ConflictError names the keys whose version was not the expected one.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %v", e.Keys) }

// Store is the state service as controllers use it, within the node's share
// of its limits.
type Store struct {
	*budget
	client *transport.Client
	dial   transport.DialFunc
	addr   string
	Stats  *StoreStats
	// Revisions tells for how long a record has been durable.
	Revisions *RevisionHistory
}

// revisionsKept is how far back the ages of records are told apart.
const revisionsKept = 2 * units.Second

// StoreStats counts what was sent.
type StoreStats struct{ Requests, Writes, Refused, Uncertain atomic.Uint64 }

// The shares of the state service. All of the leader's writes stay below half of
// its rate (DESIGN, 4), and those of all controllers together within it, bursts
// included; most of the requests are the leader's.
const (
	leaderWrites = 0.47
	otherWrites  = 0.4 // of all the others together
	requestShare = 0.6
	leaderBurst  = 16
)

// budget keeps a node within its share.
type budget struct {
	mu       sync.Mutex
	limits   config.State
	others   int // controllers beside this one
	leads    bool
	requests *rate.Limiter
	writes   *rate.Limiter
}

// set makes the limiters anew, as the share is now.
func (b *budget) set() {
	r := b.limits.RPS * requestShare
	b.requests = rate.NewLimiter(rate.Limit(r), max(int(r/2), leaderBurst))
	if b.leads || b.others == 0 {
		w := b.limits.WriteRPS * leaderWrites
		b.writes = rate.NewLimiter(rate.Limit(w), max(int(w/2), leaderBurst, b.limits.TxnOps))
		return
	}
	w := b.limits.WriteRPS * otherWrites / float64(b.others)
	b.writes = rate.NewLimiter(rate.Limit(w), max(int(w), 2))
}

func (b *budget) limiters() (requests, writes *rate.Limiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.writes
}

// NewStore makes a client of the state service for one of several controllers.
func NewStore(dial transport.DialFunc, addr string, limits config.State, others int, clock units.Clock) *Store {
	b := &budget{limits: limits, others: others}
	b.set()
	return &Store{
		client:    transport.NewClient(dial, addr, 8, 4<<20),
		dial:      dial,
		addr:      addr,
		Stats:     new(StoreStats),
		Revisions: NewRevisionHistory(clock, revisionsKept),
		budget:    b,
	}
}

// Reserved is the same store over connections of its own: a lease must not
// wait behind requests that hang.
func (s *Store) Reserved() *Store {
	return &Store{
		client:    transport.NewClient(s.dial, s.addr, 2, 1<<20),
		dial:      s.dial,
		addr:      s.addr,
		Stats:     s.Stats,
		Revisions: s.Revisions,
		budget:    s.budget,
	}
}

// Lead gives this node the leader's share, or takes it away.
func (s *Store) Lead(leads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leads = leads
	s.set()
}

// ApplyNextLimits keeps within the limits to come from now on.
func (s *Store) ApplyNextLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Next != nil {
		s.limits = s.limits.Both()
		s.set()
	}
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, key string, limit units.Micros) (protocol.Item, bool, error) {
	var item protocol.Item
	status, err := s.call(ctx, http.MethodGet, protocol.PathKeys+"/"+key, nil, limit, &item)
	switch {
	case err != nil:
		return item, false, err
	case status == http.StatusNotFound:
		return item, false, nil
	}
	s.Revisions.Observe(item.Version)
	return item, true, nil
}

// List reads one page of the keys with a prefix, beginning after from.
func (s *Store) List(ctx context.Context, prefix, from string, limit units.Micros) (protocol.ItemList, error) {
	q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(1000)}}
	if from != "" {
		q.Set("from", from)
	}
	var list protocol.ItemList
	status, err := s.call(ctx, http.MethodGet, protocol.PathKeys+"?"+q.Encode(), nil, limit, &list)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("listing %s: status %d", prefix, status)
	}
	newest := uint64(0)
	for _, item := range list.Items {
		newest = max(newest, item.Version)
	}
	s.Revisions.Observe(newest)
	return list, err
}

// Pacing is how a transaction is held against the node's share of the writes.
type Pacing uint8

const (
	// Paced waits until the share has room.
	Paced Pacing = iota
	// Urgent is counted and does not wait: a renewal of the fleet lease.
	Urgent
	// Reserved was counted by ReserveWrites.
	Reserved
)

// Commit carries out a transaction and gives its revision. It fails with
// ErrRefused, ErrUncertain, ErrRejected or a ConflictError.
func (s *Store) Commit(ctx context.Context, txn protocol.Txn, pacing Pacing, limit units.Micros) (uint64, error) {
	switch pacing {
	case Urgent:
		s.ReserveWrites(len(txn.Then))
	case Paced:
		_, writes := s.limiters()
		if err := writes.WaitN(ctx, len(txn.Then)); err != nil {
			return 0, ErrRefused
		}
	}
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	s.Stats.Writes.Add(uint64(len(txn.Then)))
	var answer protocol.TxnAnswer
	status, err := s.call(ctx, http.MethodPost, protocol.PathCommit, protocol.Encode(txn), limit, &answer)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, &ConflictError{answer.Failed}
	case status != http.StatusOK:
		return 0, fmt.Errorf("commit: status %d", status)
	}
	s.Revisions.Observe(answer.Revision)
	return answer.Revision, nil
}

func (s *Store) call(ctx context.Context, method, path string, body []byte, limit units.Micros, answer any) (int, error) {
	requests, _ := s.limiters()
	requests.ReserveN(time.Now(), 1)
	s.Stats.Requests.Add(1)
	status, raw, err := s.client.Do(ctx, method, path, body, limit)
	if err != nil {
		s.Stats.Uncertain.Add(1)
		return 0, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := protocol.Decode(raw, answer); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUncertain, err)
		}
	case http.StatusNotFound, http.StatusGone:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.Stats.Refused.Add(1)
		return 0, ErrRefused
	case http.StatusBadRequest:
		return status, ErrRejected
	default:
		return status, fmt.Errorf("%s %s: status %d", method, path, status)
	}
	return status, nil
}

// Spare tells whether a request that could as well be made later fits into
// the node's share now.
func (s *Store) Spare() bool {
	requests, _ := s.limiters()
	return requests.TokensAt(time.Now()) > 4
}

// ReserveWrites counts writes that are about to be sent against the node's share.
func (s *Store) ReserveWrites(n int) {
	_, writes := s.limiters()
	writes.ReserveN(time.Now(), n)
}

// WritesAvailable is how many writes fit into the node's share now.
func (s *Store) WritesAvailable() int {
	_, writes := s.limiters()
	return max(0, int(writes.TokensAt(time.Now())))
}

// WritesSpare tells whether there is room for writes that nobody waits for.
func (s *Store) WritesSpare() bool {
	_, writes := s.limiters()
	return writes.TokensAt(time.Now()) > float64(writes.Burst())/2
}
