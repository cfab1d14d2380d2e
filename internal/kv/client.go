// Package kv is the client of the consensus-backed key-value store in which the controllers keep
// their records. It limits a controller to its share of the store's request and write rates, and
// distinguishes the outcomes of a request: success, refusal, version conflict, or unknown.
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
	// CallTimeout is the default timeout of one request to the store.
	CallTimeout = 1500 * units.Millisecond
	// listTimeout is the timeout of the read of one page of a list by ListAll.
	listTimeout = 3 * units.Second
	// listPage is the number of items per page, the most that the store returns.
	listPage = 1000
	// revisionRetention is the age up to which Revisions measures the age of a record exactly.
	revisionRetention = 2 * units.Second
)

// Limits on the number of connections to the store and on the size of a response. Those that begin
// with own apply to the clients that WithOwnConnections returns.
const (
	maxConns            = 8
	maxResponseBytes    = 4 << 20
	ownMaxConns         = 2
	ownMaxResponseBytes = 1 << 20
)

// Client is a controller's client of the key-value store. It counts its requests and writes against
// the controller's share of the store's limits. It may be used concurrently.
type Client struct {
	client *transport.Client
	dial   transport.DialFunc
	addr   string
	budget *rateBudget
	Stats  *Stats
	// Revisions holds when the client first saw recent revisions of the store. It gives a lower
	// bound for how long a record has been durable.
	Revisions *RevisionHistory
}

// Stats counts the requests since the start of the process, the writes in them, and the requests
// that were refused or whose outcome is unknown.
type Stats struct{ Requests, Writes, Refused, OutcomeUnknown atomic.Uint64 }

// NewClient returns a client of the key-value store at addr. others is the number of other
// controllers, which share the limits with this one.
func NewClient(dial transport.DialFunc, addr string, limits config.KVLimits, others int, clock units.Clock) *Client {
	return &Client{
		client:    transport.NewClient(dial, addr, maxConns, maxResponseBytes),
		dial:      dial,
		addr:      addr,
		budget:    newRateBudget(limits, others),
		Stats:     new(Stats),
		Revisions: NewRevisionHistory(clock, revisionRetention),
	}
}

// WithOwnConnections returns a client that shares the limits and statistics of c but has its own
// connections: a renewal of a lease must not wait behind requests that hang.
func (c *Client) WithOwnConnections() *Client {
	own := *c
	own.client = transport.NewClient(c.dial, c.addr, ownMaxConns, ownMaxResponseBytes)
	return &own
}

// Get returns the item with the given key, and whether it exists.
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

// List returns one page of the items whose keys begin with prefix, starting after the key from.
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

// ListAll returns all items whose keys begin with prefix, read page by page. revision is that of
// the first page: changes after it may be missing from the items.
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

// ReadAtRevision returns the item with the given key, and the revision of the store at which it was
// read: a Watch for later changes starts there. A key that does not exist has version 0.
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

// Pacing says how a transaction is counted against the controller's share of the writes.
type Pacing uint8

const (
	// Paced transactions wait until the share allows their writes.
	Paced Pacing = iota
	// Urgent transactions, such as a renewal of the leader lease, are counted but do not wait.
	Urgent
	// Reserved transactions were counted before by ReserveWrites.
	Reserved
)

// CompareAndSwap commits a transaction if its conditions hold, and returns its revision. It fails
// with ErrRefused, ErrOutcomeUnknown, ErrInvalidRequest, a *VersionConflictError if a condition does
// not hold, or a *StatusError.
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

// call sends a request and decodes its response. If it returns no error, the status is OK,
// Conflict, NotFound or Gone; response is set only for OK and Conflict.
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
			return 0, fmt.Errorf("%w: decode response to %s %s: %w", ErrOutcomeUnknown, method, path, err)
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
