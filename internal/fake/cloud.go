package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"dunestand/internal/protocol"
)

// Cloud is an in-memory fake of the cloud. Its instances run as soon as they are provisioned,
// and its list of machines is always up to date.
type Cloud struct {
	mu           sync.Mutex // guards the unexported fields
	catalog      protocol.Catalog
	capacity     int                 // of each zone, in instances
	provisioned  map[string][]string // instance IDs by request ID
	machines     map[string]protocol.ListedMachine
	createdCount int
	down         bool
	releasesOnly bool

	// OnProvision and OnRelease, if set, are called for each instance that is provisioned or
	// released. They are called under the cloud's lock and must be set before the first request.
	OnProvision func(protocol.ListedMachine)
	OnRelease   func(id string)
}

// NewCloud returns a cloud without machines and with a capacity in instances per zone.
func NewCloud(catalog protocol.Catalog, capacity int) *Cloud {
	return &Cloud{
		catalog:     catalog,
		capacity:    capacity,
		provisioned: map[string][]string{},
		machines:    map[string]protocol.ListedMachine{},
	}
}

// SetDown sets whether the cloud rejects all requests.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetReleasesOnly sets whether only releases of machines get a response.
func (c *Cloud) SetReleasesOnly(releasesOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasesOnly = releasesOnly
}

// responds reports whether requests for a path get a response.
func (c *Cloud) responds(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.releasesOnly || path == protocol.PathScaleIn
}

// ServeHTTP implements the cloud's HTTP API.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !c.responds(r.URL.Path) {
		<-r.Context().Done()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		writeResponse(w, http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "trouble"})
	case r.URL.Path == protocol.PathCatalog:
		writeResponse(w, http.StatusOK, c.catalog)
	case r.URL.Path == protocol.PathMachines && r.Method == http.MethodGet:
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for _, m := range c.machines {
			list.Machines = append(list.Machines, m)
		}
		writeResponse(w, http.StatusOK, list)
	case r.URL.Path == protocol.PathMachines:
		var request protocol.ScaleOutRequest
		if protocol.Decode(body, &request) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.provisionLocked(w, request)
	case r.URL.Path == protocol.PathScaleIn:
		var released protocol.MachineIDs
		_ = protocol.Decode(body, &released)
		for _, id := range released.Machines {
			delete(c.machines, id)
			if c.OnRelease != nil {
				c.OnRelease(id)
			}
		}
		writeResponse(w, http.StatusOK, struct{}{})
	}
}

// provisionLocked provisions the instances of a request, or fewer if the zone's capacity is
// exhausted; if there is no capacity at all, it responds with status 503. A request ID that has
// already succeeded provisions nothing and gets the same response again.
func (c *Cloud) provisionLocked(w http.ResponseWriter, request protocol.ScaleOutRequest) {
	if ids, repeated := c.provisioned[request.RequestID]; repeated {
		writeResponse(w, http.StatusOK, protocol.MachineIDs{Machines: ids})
		return
	}
	var ids []string
	inZone := 0
	for _, m := range c.machines {
		if m.Zone == request.Zone {
			inZone++
		}
	}
	for ; len(ids) < request.Count && inZone < c.capacity; inZone++ {
		m := protocol.ListedMachine{
			ID:           fmt.Sprintf("i-%06d", c.createdCount),
			Endpoint:     fmt.Sprintf("i-%06d:9000", c.createdCount),
			InstanceType: request.InstanceType,
			Zone:         request.Zone,
			Spot:         request.Spot,
			Stage:        protocol.MachineRunning,
		}
		c.createdCount++
		c.machines[m.ID] = m
		ids = append(ids, m.ID)
		if c.OnProvision != nil {
			c.OnProvision(m)
		}
	}
	if len(ids) == 0 {
		writeResponse(w, http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "no capacity"})
		return
	}
	c.provisioned[request.RequestID] = ids
	writeResponse(w, http.StatusOK, protocol.MachineIDs{Machines: ids})
}
