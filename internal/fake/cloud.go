package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"dunestand/internal/protocol"
)

// Cloud is a fake of the cloud, in memory. Its instances run as soon as they are
// provisioned, and its list does not lag.
type Cloud struct {
	mu          sync.Mutex // guards all but the exported fields
	catalog     protocol.Catalog
	capacity    int                 // of each zone, in instances
	provisioned map[string][]string // instance IDs by request
	machines    map[string]protocol.ListedMachine
	created     int

	// OnProvision and OnRelease, if set, are called with each instance, under the cloud's
	// lock. They are set before the first request.
	OnProvision func(protocol.ListedMachine)
	OnRelease   func(id string)
}

// NewCloud returns a cloud with a capacity of so many instances in each zone.
func NewCloud(catalog protocol.Catalog, capacity int) *Cloud {
	return &Cloud{
		catalog:     catalog,
		capacity:    capacity,
		provisioned: map[string][]string{},
		machines:    map[string]protocol.ListedMachine{},
	}
}

// ServeHTTP implements the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == protocol.PathCatalog:
		reply(w, http.StatusOK, c.catalog)
	case r.URL.Path == protocol.PathMachines && r.Method == http.MethodGet:
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for _, m := range c.machines {
			list.Machines = append(list.Machines, m)
		}
		reply(w, http.StatusOK, list)
	case r.URL.Path == protocol.PathMachines:
		var request protocol.ScaleOutRequest
		if protocol.Decode(body, &request) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.provisionLocked(w, request)
	case r.URL.Path == protocol.PathScaleIn:
		var names protocol.MachineIDs
		_ = protocol.Decode(body, &names)
		for _, id := range names.Machines {
			delete(c.machines, id)
			if c.OnRelease != nil {
				c.OnRelease(id)
			}
		}
		reply(w, http.StatusOK, struct{}{})
	}
}

// provisionLocked starts the instances of a request. A request that is repeated gets the
// same response.
func (c *Cloud) provisionLocked(w http.ResponseWriter, request protocol.ScaleOutRequest) {
	if ids, repeated := c.provisioned[request.RequestID]; repeated {
		reply(w, http.StatusOK, protocol.MachineIDs{Machines: ids})
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
			ID:           fmt.Sprintf("i-%06d", c.created),
			Endpoint:     fmt.Sprintf("i-%06d:9000", c.created),
			InstanceType: request.InstanceType,
			Zone:         request.Zone,
			Spot:         request.Spot,
			Stage:        protocol.MachineRunning,
		}
		c.created++
		c.machines[m.ID] = m
		ids = append(ids, m.ID)
		if c.OnProvision != nil {
			c.OnProvision(m)
		}
	}
	if len(ids) == 0 {
		reply(w, http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "no capacity"})
		return
	}
	c.provisioned[request.RequestID] = ids
	reply(w, http.StatusOK, protocol.MachineIDs{Machines: ids})
}
