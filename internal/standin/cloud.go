package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"dunestand/internal/protocol"
)

// Cloud is a cloud in memory whose machines are up at once.
type Cloud struct {
	mu       sync.Mutex
	catalog  protocol.Catalog
	capacity int
	hires    map[string][]string
	machines map[string]protocol.ListedMachine
	made     int

	// Rented and Released are told of machines, if set.
	Rented   func(protocol.ListedMachine)
	Released func(id string)
}

// NewCloud makes a cloud with room for so many machines in each zone.
func NewCloud(catalog protocol.Catalog, capacity int) *Cloud {
	return &Cloud{
		catalog:  catalog,
		capacity: capacity,
		hires:    map[string][]string{},
		machines: map[string]protocol.ListedMachine{},
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
		var rent protocol.ScaleOutRequest
		if protocol.Decode(body, &rent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.rent(w, rent)
	case r.URL.Path == protocol.PathScaleIn:
		var names protocol.MachineIDs
		_ = protocol.Decode(body, &names)
		for _, id := range names.Machines {
			delete(c.machines, id)
			if c.Released != nil {
				c.Released(id)
			}
		}
		reply(w, http.StatusOK, struct{}{})
	}
}

func (c *Cloud) rent(w http.ResponseWriter, rent protocol.ScaleOutRequest) {
	if names, again := c.hires[rent.RequestID]; again {
		reply(w, http.StatusOK, protocol.MachineIDs{Machines: names})
		return
	}
	var names []string
	there := 0
	for _, m := range c.machines {
		if m.Zone == rent.Zone {
			there++
		}
	}
	for ; len(names) < rent.Count && there < c.capacity; there++ {
		m := protocol.ListedMachine{
			ID:           fmt.Sprintf("i-%06d", c.made),
			Endpoint:     fmt.Sprintf("i-%06d:9000", c.made),
			InstanceType: rent.InstanceType,
			Zone:         rent.Zone,
			Spot:         rent.Spot,
			Stage:        protocol.MachineRunning,
		}
		c.made++
		c.machines[m.ID] = m
		names = append(names, m.ID)
		if c.Rented != nil {
			c.Rented(m)
		}
	}
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "no capacity"})
		return
	}
	c.hires[rent.RequestID] = names
	reply(w, http.StatusOK, protocol.MachineIDs{Machines: names})
}
