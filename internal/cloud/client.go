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
	// ErrNoCapacity: nothing of the kind asked for is to be had.
	ErrNoCapacity = errors.New("no capacity")
	// ErrCallFailed: the request was refused, or may or may not be carried out.
	ErrCallFailed = errors.New("cloud did not serve the request")
)

const callTimeout = 4 * units.Second

// Client is the cloud's interface, within its limit.
type Client struct {
	client  *transport.Client
	limiter *rate.Limiter
}

// NewClient makes a client of the cloud.
func NewClient(dial transport.DialFunc, addr string, limits config.Cloud) *Client {
	return &Client{
		client:  transport.NewClient(dial, addr, 3, 1<<20),
		limiter: rate.NewLimiter(rate.Limit(limits.RPS*0.8), max(int(limits.RPS*1.6), 1)),
	}
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) (int, error) {
	if err := c.limiter.WaitN(ctx, 1); err != nil {
		return 0, ErrCallFailed
	}
	var raw []byte
	if body != nil {
		raw = protocol.Encode(body)
	}
	status, raw, err := c.client.Do(ctx, method, path, raw, callTimeout)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrCallFailed, err)
	}
	if status == http.StatusOK && answer != nil {
		if err := protocol.Decode(raw, answer); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrCallFailed, err)
		}
	}
	if status == http.StatusServiceUnavailable {
		var p protocol.ErrorResponse
		if protocol.Decode(raw, &p) == nil && p.Message == "no capacity" {
			return status, ErrNoCapacity
		}
	}
	if status != http.StatusOK {
		return status, fmt.Errorf("%w: status %d", ErrCallFailed, status)
	}
	return status, nil
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var out protocol.Catalog
	_, err := c.call(ctx, http.MethodGet, protocol.PathCatalog, nil, &out)
	return out, err
}

// ScaleOut rents machines and gives their names.
func (c *Client) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	var out protocol.MachineIDs
	_, err := c.call(ctx, http.MethodPost, protocol.PathMachines, r, &out)
	return out.Machines, err
}

// ScaleIn returns machines. Without an error they are gone, with all that was
// on them.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	_, err := c.call(ctx, http.MethodPost, protocol.PathScaleIn, protocol.MachineIDs{Machines: names}, nil)
	return err
}

// ListMachines reads the whole machine list, page by page.
func (c *Client) ListMachines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	q := url.Values{"limit": {strconv.Itoa(protocol.MaxListPage)}}
	for {
		var page protocol.MachineList
		if _, err := c.call(ctx, http.MethodGet, protocol.PathMachines+"?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		q.Set("from", page.Machines[len(page.Machines)-1].ID)
	}
}
