// Package cloud is the client of the cloud's API: the catalog of instance types, the list of rented
// machines, and requests to scale out and in. It respects the cloud's rate limit.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Errors of requests to the cloud.
var (
	// ErrNoCapacity reports that no machine of the requested instance type, zone and pricing is
	// available.
	ErrNoCapacity = errors.New("no capacity")
	// ErrCallFailed reports that the request was refused, or that its outcome is unknown.
	ErrCallFailed = errors.New("cloud did not serve the request")
)

// noCapacityMessage is the message that the cloud sends with status 503 for ErrNoCapacity.
const noCapacityMessage = "no capacity"

const (
	// callTimeout limits the time of one request.
	callTimeout = 4 * units.Second
	// maxConns limits the connections to the cloud: one for a scale-in request while other requests
	// get no response.
	maxConns = 4
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 1 << 20
	// requestShare is the part of the cloud's rate limit that a controller uses.
	requestShare = 0.8
	// requestBurstSeconds is the time in which the cloud's rate limit allows as many requests as
	// a controller may send in one burst.
	requestBurstSeconds = 1.6
)

// Client sends requests to the cloud within its rate limit. It is safe for concurrent use.
type Client struct {
	client  *transport.Client
	limiter *rate.Limiter
}

// NewClient returns a client of the cloud at addr (IP:port). A nil dial means net.Dialer.
func NewClient(dial transport.DialFunc, addr string, limits config.CloudLimits) *Client {
	return &Client{
		client:  transport.NewClient(dial, addr, maxConns, maxResponseBytes),
		limiter: rate.NewLimiter(rate.Limit(limits.RPS*requestShare), max(int(limits.RPS*requestBurstSeconds), 1)),
	}
}

// call waits for the rate limit, sends a request and decodes the response. Any status other than 200
// is an error. If body is nil, the request has no body; if response is nil, the body of the response
// is ignored.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	if err := c.limiter.WaitN(ctx, 1); err != nil {
		return ErrCallFailed
	}
	var raw []byte
	if body != nil {
		raw = protocol.Encode(body)
	}
	status, raw, err := c.client.Do(ctx, method, path, raw, callTimeout)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrCallFailed, err)
	case status == http.StatusServiceUnavailable && isNoCapacity(raw):
		return ErrNoCapacity
	case status != http.StatusOK:
		return fmt.Errorf("%w: %s %s: status %d", ErrCallFailed, method, path, status)
	case response == nil:
		return nil
	}
	if err := protocol.Decode(raw, response); err != nil {
		return fmt.Errorf("%w: decode response to %s %s: %w", ErrCallFailed, method, path, err)
	}
	return nil
}

// isNoCapacity reports whether an error response has the message noCapacityMessage.
func isNoCapacity(raw []byte) bool {
	var e protocol.ErrorResponse
	return protocol.Decode(raw, &e) == nil && e.Message == noCapacityMessage
}

// Catalog returns the instance types that the cloud offers.
func (c *Client) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var catalog protocol.Catalog
	err := c.call(ctx, http.MethodGet, protocol.PathCatalog, nil, &catalog)
	return catalog, err
}

// ScaleOut rents machines and returns their IDs. It returns ErrNoCapacity, or ErrCallFailed, after
// which the cloud may have rented the machines or may still rent them.
func (c *Client) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	var rented protocol.MachineIDs
	err := c.call(ctx, http.MethodPost, protocol.PathMachines, r, &rented)
	return rented.Machines, err
}

// ScaleIn releases machines. If it returns nil, the machines and all tasks on them have ended.
func (c *Client) ScaleIn(ctx context.Context, ids []string) error {
	return c.call(ctx, http.MethodPost, protocol.PathScaleIn, protocol.MachineIDs{Machines: ids}, nil)
}

// ListMachines returns all rented machines. It reads the list page by page.
func (c *Client) ListMachines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	q := url.Values{"limit": {strconv.Itoa(protocol.MaxListPage)}}
	for {
		var page protocol.MachineList
		if err := c.call(ctx, http.MethodGet, protocol.PathMachines+"?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		q.Set("from", page.Machines[len(page.Machines)-1].ID)
	}
}
