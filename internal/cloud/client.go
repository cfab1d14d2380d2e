// Package cloud is the client of the cloud that rents the machines: its catalog of instance
// types, the list of rented machines, and requests to scale out and in. It keeps within the
// cloud's rate of requests.
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

// Outcomes of a request to the cloud that are not success.
var (
	// ErrNoCapacity: no instance of the offering asked for is available.
	ErrNoCapacity = errors.New("no capacity")
	// ErrCallFailed: the request was refused, or may or may not be carried out.
	ErrCallFailed = errors.New("cloud did not serve the request")
)

// noCapacityMessage is the cloud's message with a status 503 that says ErrNoCapacity.
const noCapacityMessage = "no capacity"

const (
	// callTimeout is how long the client waits for one response.
	callTimeout = 4 * units.Second
	// maxConns is the number of connections to the cloud.
	maxConns = 3
	// maxResponse is the most that is read of a response, in bytes.
	maxResponse = 1 << 20
	// requestShare is the part of the cloud's rate that a controller uses, and requestBurst
	// the seconds of that rate that it may use at once.
	requestShare = 0.8
	requestBurst = 1.6
)

// Client is the cloud's interface, within its rate of requests. It may be used concurrently.
type Client struct {
	client  *transport.Client
	limiter *rate.Limiter
}

// NewClient returns a client of the cloud at an address.
func NewClient(dial transport.DialFunc, addr string, limits config.CloudLimits) *Client {
	return &Client{
		client:  transport.NewClient(dial, addr, maxConns, maxResponse),
		limiter: rate.NewLimiter(rate.Limit(limits.RPS*requestShare), max(int(limits.RPS*requestBurst), 1)),
	}
}

// call sends a request, once the rate allows it, and decodes its response. Any status but 200
// is an error. A nil body or response is none.
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
	case status == http.StatusServiceUnavailable && saysNoCapacity(raw):
		return ErrNoCapacity
	case status != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrCallFailed, status)
	case response == nil:
		return nil
	}
	if err := protocol.Decode(raw, response); err != nil {
		return fmt.Errorf("%w: %w", ErrCallFailed, err)
	}
	return nil
}

// saysNoCapacity reports whether an error response says that there is no capacity.
func saysNoCapacity(raw []byte) bool {
	var e protocol.ErrorResponse
	return protocol.Decode(raw, &e) == nil && e.Message == noCapacityMessage
}

// Catalog reads the instance types.
func (c *Client) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var catalog protocol.Catalog
	err := c.call(ctx, http.MethodGet, protocol.PathCatalog, nil, &catalog)
	return catalog, err
}

// ScaleOut rents machines and returns their IDs. It fails with ErrNoCapacity, or with
// ErrCallFailed, after which machines may have been rented or may be still.
func (c *Client) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	var rented protocol.MachineIDs
	err := c.call(ctx, http.MethodPost, protocol.PathMachines, r, &rented)
	return rented.Machines, err
}

// ScaleIn releases machines. Without an error they are gone, with all that was
// on them.
func (c *Client) ScaleIn(ctx context.Context, ids []string) error {
	return c.call(ctx, http.MethodPost, protocol.PathScaleIn, protocol.MachineIDs{Machines: ids}, nil)
}

// ListMachines reads the whole list of rented machines, page by page.
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
