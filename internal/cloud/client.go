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
	// ErrCloud: the request was refused, or may or may not be carried out.
	ErrCloud = errors.New("cloud did not serve the request")
)

const cloudCall = 4 * units.Second

// Cloud is the cloud's interface, within its limit.
type Cloud struct {
	client *transport.Client
	limit  *rate.Limiter
}

// NewCloud makes a client of the cloud.
func NewCloud(dial transport.DialFunc, addr string, limits config.Cloud) *Cloud {
	return &Cloud{
		client: transport.NewClient(dial, addr, 3, 1<<20),
		limit:  rate.NewLimiter(rate.Limit(limits.RPS*0.8), max(int(limits.RPS*1.6), 1)),
	}
}

func (c *Cloud) call(ctx context.Context, method, path string, body, answer any) (int, error) {
	if err := c.limit.WaitN(ctx, 1); err != nil {
		return 0, ErrCloud
	}
	var raw []byte
	if body != nil {
		raw = protocol.Encode(body)
	}
	status, raw, err := c.client.Do(ctx, method, path, raw, cloudCall)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrCloud, err)
	}
	if status == http.StatusOK && answer != nil {
		if err := protocol.Decode(raw, answer); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrCloud, err)
		}
	}
	if status == http.StatusServiceUnavailable {
		var p protocol.Problem
		if protocol.Decode(raw, &p) == nil && p.Error == "no capacity" {
			return status, ErrNoCapacity
		}
	}
	if status != http.StatusOK {
		return status, fmt.Errorf("%w: status %d", ErrCloud, status)
	}
	return status, nil
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var out protocol.Catalog
	_, err := c.call(ctx, http.MethodGet, protocol.PathCatalog, nil, &out)
	return out, err
}

// Rent rents machines and gives their names.
func (c *Cloud) Rent(ctx context.Context, r protocol.Rent) ([]string, error) {
	var out protocol.MachineNames
	_, err := c.call(ctx, http.MethodPost, protocol.PathHosts, r, &out)
	return out.Machines, err
}

// Release returns machines. Without an error they are gone, with all that was
// on them.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	_, err := c.call(ctx, http.MethodPost, protocol.PathRelease, protocol.MachineNames{Machines: names}, nil)
	return err
}

// List reads the whole machine list, page by page.
func (c *Cloud) List(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	q := url.Values{"limit": {strconv.Itoa(protocol.MaxList)}}
	for {
		var page protocol.MachineList
		if _, err := c.call(ctx, http.MethodGet, protocol.PathHosts+"?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		q.Set("from", page.Machines[len(page.Machines)-1].ID)
	}
}
