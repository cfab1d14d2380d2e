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
	// ErrOutcomeUnknown: it may have been carried out, or may be still.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrInvalidRequest: it was not carried out, and will not be as it is.
	ErrInvalidRequest = errors.New("state service does not take the request")
)

// VersionConflictError names the keys whose version was not the expected one.
type VersionConflictError struct{ Keys []string }

func (e *VersionConflictError) Error() string { return fmt.Sprintf("conflict on %v", e.Keys) }

// Client is the state service as controllers use it, within the node's share
// of its limits.
type Client struct {
	*rateBudget
	client *transport.Client
	dial   transport.DialFunc
	addr   string
	Stats  *Stats
	// Revisions tells for how long a record has been durable.
	Revisions *RevisionHistory
}

// revisionsKept is how far back the ages of records are told apart.
const revisionsKept = 2 * units.Second

// Stats counts what was sent.
type Stats struct{ Requests, Writes, Refused, OutcomeUnknown atomic.Uint64 }

// The shares of the state service. All of the leader's writes stay below half of
// its rate (DESIGN, 4), and those of all controllers together within it, bursts
// included; most of the requests are the leader's.
const (
	leaderWriteShare   = 0.47
	followerWriteShare = 0.4 // of all the others together
	requestShare       = 0.6
	minLeaderBurst     = 16
)

// rateBudget keeps a node within its share.
type rateBudget struct {
	mu       sync.Mutex
	limits   config.State
	others   int // controllers beside this one
	leading  bool
	requests *rate.Limiter
	writes   *rate.Limiter
}

// resetLimiters makes the limiters anew, as the share is now.
func (b *rateBudget) resetLimiters() {
	r := b.limits.RPS * requestShare
	b.requests = rate.NewLimiter(rate.Limit(r), max(int(r/2), minLeaderBurst))
	if b.leading || b.others == 0 {
		w := b.limits.WriteRPS * leaderWriteShare
		b.writes = rate.NewLimiter(rate.Limit(w), max(int(w/2), minLeaderBurst, b.limits.TxnOps))
		return
	}
	w := b.limits.WriteRPS * followerWriteShare / float64(b.others)
	b.writes = rate.NewLimiter(rate.Limit(w), max(int(w), 2))
}

func (b *rateBudget) limiters() (requests, writes *rate.Limiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.writes
}

// NewClient makes a client of the state service for one of several controllers.
func NewClient(dial transport.DialFunc, addr string, limits config.State, others int, clock units.Clock) *Client {
	b := &rateBudget{limits: limits, others: others}
	b.resetLimiters()
	return &Client{
		client:     transport.NewClient(dial, addr, 8, 4<<20),
		dial:       dial,
		addr:       addr,
		Stats:      new(Stats),
		Revisions:  NewRevisionHistory(clock, revisionsKept),
		rateBudget: b,
	}
}

// WithOwnConnections is the same store over connections of its own: a lease must not
// wait behind requests that hang.
func (s *Client) WithOwnConnections() *Client {
	return &Client{
		client:     transport.NewClient(s.dial, s.addr, 2, 1<<20),
		dial:       s.dial,
		addr:       s.addr,
		Stats:      s.Stats,
		Revisions:  s.Revisions,
		rateBudget: s.rateBudget,
	}
}

// SetLeader gives this node the leader's share, or takes it away.
func (s *Client) SetLeader(leads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = leads
	s.resetLimiters()
}

// ApplyNextLimits keeps within the limits to come from now on.
func (s *Client) ApplyNextLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Next != nil {
		s.limits = s.limits.Both()
		s.resetLimiters()
	}
}

// Get reads a key.
func (s *Client) Get(ctx context.Context, key string, limit units.Micros) (protocol.Item, bool, error) {
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
func (s *Client) List(ctx context.Context, prefix, from string, limit units.Micros) (protocol.ItemList, error) {
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

// CallTimeout is how long a controller waits for one answer of the store, unless more or
// less is at stake.
const CallTimeout = 1500 * units.Millisecond

// listTimeout bounds the read of one page of a list.
const listTimeout = 3 * units.Second

// ListAll reads all keys with a prefix, page by page. revision is that of the first page:
// changes from there on may be missing from the items.
func (s *Client) ListAll(ctx context.Context, prefix string) (items []protocol.Item, revision uint64, err error) {
	from := ""
	for {
		page, err := s.List(ctx, prefix, from, listTimeout)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Pacing is how a transaction is held against the node's share of the writes.
type Pacing uint8

const (
	// Paced waits until the share has room.
	Paced Pacing = iota
	// Urgent is counted and does not wait: a renewal of the fleet lease.
	Urgent
	// WithOwnConnections was counted by ReserveWrites.
	Prepaid
)

// CompareAndSwap carries out a transaction and gives its revision. It fails with
// ErrRefused, ErrOutcomeUnknown, ErrInvalidRequest or a VersionConflictError.
func (s *Client) CompareAndSwap(ctx context.Context, txn protocol.Txn, pacing Pacing, limit units.Micros) (uint64, error) {
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
	var answer protocol.TxnResponse
	status, err := s.call(ctx, http.MethodPost, protocol.PathCommit, protocol.Encode(txn), limit, &answer)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, &VersionConflictError{answer.Failed}
	case status != http.StatusOK:
		return 0, fmt.Errorf("commit: status %d", status)
	}
	s.Revisions.Observe(answer.Revision)
	return answer.Revision, nil
}

func (s *Client) call(ctx context.Context, method, path string, body []byte, limit units.Micros, answer any) (int, error) {
	requests, _ := s.limiters()
	requests.ReserveN(time.Now(), 1)
	s.Stats.Requests.Add(1)
	status, raw, err := s.client.Do(ctx, method, path, body, limit)
	if err != nil {
		s.Stats.OutcomeUnknown.Add(1)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := protocol.Decode(raw, answer); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	case http.StatusNotFound, http.StatusGone:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.Stats.Refused.Add(1)
		return 0, ErrRefused
	case http.StatusBadRequest:
		return status, ErrInvalidRequest
	default:
		return status, fmt.Errorf("%s %s: status %d", method, path, status)
	}
	return status, nil
}

// HasRequestBudget tells whether a request that could as well be made later fits into
// the node's share now.
func (s *Client) HasRequestBudget() bool {
	requests, _ := s.limiters()
	return requests.TokensAt(time.Now()) > 4
}

// ReserveWrites counts writes that are about to be sent against the node's share.
func (s *Client) ReserveWrites(n int) {
	_, writes := s.limiters()
	writes.ReserveN(time.Now(), n)
}

// WritesAvailable is how many writes fit into the node's share now.
func (s *Client) WritesAvailable() int {
	_, writes := s.limiters()
	return max(0, int(writes.TokensAt(time.Now())))
}

// HasWriteBudget tells whether there is room for writes that nobody waits for.
func (s *Client) HasWriteBudget() bool {
	_, writes := s.limiters()
	return writes.TokensAt(time.Now()) > float64(writes.Burst())/2
}
