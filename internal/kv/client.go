// Package kv is the client of the consensus-backed key-value store in which the
// controllers keep their records. It keeps a controller within its share of the store's request
// and write rates, and tells apart the outcomes of a request: carried out, refused,
// in conflict with another version, or unknown.
package kv

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

const (
	// CallTimeout is how long a controller waits for one response of the store, unless more or
	// less is at stake.
	CallTimeout = 1500 * units.Millisecond
	// listTimeout bounds the read of one page of a list.
	listTimeout = 3 * units.Second
	// listPage is the number of items on a page, the most that the store returns.
	listPage = 1000
	// revisionsKept is how far back the ages of records are told apart.
	revisionsKept = 2 * units.Second
)

// Connections to the store, and the most that is read of a response, in bytes.
const (
	maxConns      = 8
	maxResponse   = 4 << 20
	ownConns      = 2
	ownConnsLimit = 1 << 20
)

// Client is a controller's client of the key-value store, within the controller's share
// of the store's limits. It may be used concurrently.
type Client struct {
	client *transport.Client
	dial   transport.DialFunc
	addr   string
	budget *rateBudget
	Stats  *Stats
	// Revisions knows for how long a record has been durable.
	Revisions *RevisionHistory
}

// Stats counts what was sent, since the start of the process.
type Stats struct{ Requests, Writes, Refused, OutcomeUnknown atomic.Uint64 }

// NewClient returns a client of the key-value store at an address. others is the number of
// controllers beside this one.
func NewClient(dial transport.DialFunc, addr string, limits config.KVLimits, others int, clock units.Clock) *Client {
	return &Client{
		client:    transport.NewClient(dial, addr, maxConns, maxResponse),
		dial:      dial,
		addr:      addr,
		budget:    newRateBudget(limits, others),
		Stats:     new(Stats),
		Revisions: NewRevisionHistory(clock, revisionsKept),
	}
}

// WithOwnConnections returns a client with the same share over connections of its own: a lease
// must not wait behind requests that hang.
func (c *Client) WithOwnConnections() *Client {
	own := *c
	own.client = transport.NewClient(c.dial, c.addr, ownConns, ownConnsLimit)
	return &own
}

// Get reads a key, and reports whether it exists.
func (c *Client) Get(ctx context.Context, key string, timeout units.Micros) (item protocol.Item, ok bool, err error) {
	status, err := c.call(ctx, http.MethodGet, protocol.PathKeys+"/"+key, nil, timeout, &item)
	switch {
	case err != nil:
		return item, false, err
	case status == http.StatusNotFound:
		return item, false, nil
	}
	c.Revisions.Observe(item.Version)
	return item, true, nil
}

// List reads one page of the keys with a prefix, beginning after from.
func (c *Client) List(ctx context.Context, prefix, from string, timeout units.Micros) (protocol.ItemList, error) {
	q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(listPage)}}
	if from != "" {
		q.Set("from", from)
	}
	var list protocol.ItemList
	status, err := c.call(ctx, http.MethodGet, protocol.PathKeys+"?"+q.Encode(), nil, timeout, &list)
	if err == nil && status != http.StatusOK {
		err = &StatusError{Request: "listing " + prefix, Status: status}
	}
	newest := uint64(0)
	for _, item := range list.Items {
		newest = max(newest, item.Version)
	}
	c.Revisions.Observe(newest)
	return list, err
}

// ListAll reads all keys with a prefix, page by page. revision is that of the first page:
// changes from there on may be missing from the items.
func (c *Client) ListAll(ctx context.Context, prefix string) (items []protocol.Item, revision uint64, err error) {
	from := ""
	for {
		page, err := c.List(ctx, prefix, from, listTimeout)
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

// ReadAtRevision reads a key and the revision of the whole store that the response shows: changes
// are to be asked for from there. A key that does not exist has the version 0.
func (c *Client) ReadAtRevision(ctx context.Context, key string, timeout units.Micros) (item protocol.Item, revision uint64, err error) {
	list, err := c.List(ctx, key, "", timeout)
	if err != nil {
		return protocol.Item{}, 0, err
	}
	for _, item := range list.Items {
		if item.Key == key {
			return item, list.Revision, nil
		}
	}
	return protocol.Item{}, list.Revision, nil
}

// Pacing is how a transaction is counted against the controller's share of the writes.
type Pacing uint8

const (
	// Paced waits until the share has budget for it.
	Paced Pacing = iota
	// Urgent is counted and does not wait: a renewal of the leader lease.
	Urgent
	// Prepaid was counted by ReserveWrites.
	Prepaid
)

// CompareAndSwap carries out a transaction and returns its revision. It fails with
// ErrRefused, ErrOutcomeUnknown, ErrInvalidRequest or a *VersionConflictError.
func (c *Client) CompareAndSwap(ctx context.Context, txn protocol.Txn, pacing Pacing, timeout units.Micros) (uint64, error) {
	switch pacing {
	case Urgent:
		c.ReserveWrites(len(txn.Then))
	case Paced:
		if err := c.budget.writeLimiter().WaitN(ctx, len(txn.Then)); err != nil {
			return 0, ErrRefused
		}
	}
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	c.Stats.Writes.Add(uint64(len(txn.Then)))
	var response protocol.TxnResponse
	status, err := c.call(ctx, http.MethodPost, protocol.PathCommit, protocol.Encode(txn), timeout, &response)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, &VersionConflictError{response.Failed}
	case status != http.StatusOK:
		return 0, &StatusError{Request: "commit", Status: status}
	}
	c.Revisions.Observe(response.Revision)
	return response.Revision, nil
}

// call sends a request and decodes its response. A status that it returns without an error is
// one of OK, Conflict, NotFound and Gone; only the first two have a response.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout units.Micros, response any) (status int, err error) {
	c.budget.requestLimiter().ReserveN(time.Now(), 1)
	c.Stats.Requests.Add(1)
	status, raw, err := c.client.Do(ctx, method, path, body, timeout)
	if err != nil {
		c.Stats.OutcomeUnknown.Add(1)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := protocol.Decode(raw, response); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	case http.StatusNotFound, http.StatusGone:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.Stats.Refused.Add(1)
		return 0, ErrRefused
	case http.StatusBadRequest:
		return status, ErrInvalidRequest
	default:
		return status, &StatusError{Request: method + " " + path, Status: status}
	}
	return status, nil
}
