package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Offer is what the cloud has of one type in one zone.
type Offer struct {
	Type, Zone string
	Spot       bool
	Count      int // machines that may be rented at a time
}

// Cloud is the cloud. Each caller reaches it at an address of its own, so that the record shows who
// sent a request.
type Cloud struct {
	Types   []protocol.InstanceType
	Offers  []Offer
	Latency time.Duration // of each answer
	Boot    time.Duration
	Workers WorkerSettings
	Record  *Record
	// OnRequest, if set, is called when a request arrives, before it is carried out.
	OnRequest func(caller, method, path string)
	// OnRelease, if set, is called with the running tasks that a release ended.
	OnRelease func(caller, machine string, lost []string)

	mu       sync.Mutex
	created  int
	machines map[string]*machine
	hires    map[string][]string
}

type machine struct {
	listed protocol.ListedMachine
	born   time.Time
	worker *Worker // nil while it boots
}

// Handler returns the interface of the cloud for one caller.
func (c *Cloud) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if c.OnRequest != nil {
			c.OnRequest(caller, r.Method, r.URL.Path)
		}
		status, answer := c.carryOut(caller, r, body)
		time.Sleep(c.Latency)
		w.WriteHeader(status)
		_, _ = w.Write(protocol.Encode(answer))
	})
}

func (c *Cloud) carryOut(caller string, r *http.Request, body []byte) (status int, answer any) {
	switch {
	case r.URL.Path == protocol.PathCatalog:
		return http.StatusOK, protocol.Catalog{Types: c.Types}
	case r.URL.Path == protocol.PathMachines && r.Method == http.MethodGet:
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		return http.StatusOK, c.list(r.URL.Query().Get("from"), limit)
	case r.URL.Path == protocol.PathMachines:
		var request protocol.ScaleOutRequest
		if protocol.Decode(body, &request) != nil {
			return http.StatusBadRequest, protocol.ErrorResponse{}
		}
		return c.hire(caller, request)
	case r.URL.Path == protocol.PathScaleIn:
		var ids protocol.MachineIDs
		if protocol.Decode(body, &ids) != nil {
			return http.StatusBadRequest, protocol.ErrorResponse{}
		}
		for _, id := range ids.Machines {
			c.release(caller, id)
		}
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

func (c *Cloud) list(from string, limit int) protocol.MachineList {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		if id <= from {
			continue
		}
		if limit > 0 && len(list.Machines) == limit {
			list.More = true
			break
		}
		listed := c.machines[id].listed
		listed.AgeSeconds = time.Since(c.machines[id].born).Seconds()
		list.Machines = append(list.Machines, listed)
	}
	return list
}

func (c *Cloud) hire(caller string, request protocol.ScaleOutRequest) (status int, answer any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, repeated := c.hires[request.RequestID]; repeated {
		return http.StatusOK, protocol.MachineIDs{Machines: ids}
	}
	room := 0
	for _, offer := range c.Offers {
		if offer.Type == request.InstanceType && offer.Zone == request.Zone && offer.Spot == request.Spot {
			room = offer.Count
		}
	}
	for _, m := range c.machines {
		if m.listed.InstanceType == request.InstanceType && m.listed.Zone == request.Zone && m.listed.Spot == request.Spot {
			room--
		}
	}
	var ids []string
	for range min(request.Count, room) {
		ids = append(ids, c.addLocked(request.InstanceType, request.Zone, request.Spot, c.Boot))
	}
	c.Record.Printf("cloud: %s hires %s: %d %s in %s, spot %t: got %v", caller, request.RequestID, request.Count, request.InstanceType, request.Zone, request.Spot, ids)
	if len(ids) == 0 {
		return http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "no capacity"}
	}
	if c.hires == nil {
		c.hires = map[string][]string{}
	}
	c.hires[request.RequestID] = ids
	return http.StatusOK, protocol.MachineIDs{Machines: ids}
}

// Add adds a machine that is up already, and returns its worker.
func (c *Cloud) Add(machineType, zone string, spot bool) *Worker {
	c.mu.Lock()
	id := c.addLocked(machineType, zone, spot, 0)
	c.mu.Unlock()
	for {
		c.mu.Lock()
		worker := c.machines[id].worker
		c.mu.Unlock()
		if worker != nil {
			return worker
		}
		time.Sleep(tick)
	}
}

func (c *Cloud) addLocked(machineType, zone string, spot bool, boot time.Duration) (id string) {
	c.created++
	id = fmt.Sprintf("i-%06d", c.created)
	cpus := 0.0
	for _, t := range c.Types {
		if t.Name == machineType {
			cpus = t.CPUs
		}
	}
	if c.machines == nil {
		c.machines = map[string]*machine{}
	}
	m := &machine{born: time.Now(), listed: protocol.ListedMachine{
		ID: id, InstanceType: machineType, Zone: zone, Spot: spot, Stage: protocol.MachineBooting,
	}}
	c.machines[id] = m
	go func() {
		time.Sleep(boot)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] != m {
			return
		}
		worker, err := StartWorker(c.Workers, id, machineType, zone, spot, cpus)
		if err != nil {
			c.Record.Printf("cloud: machine %s has no port: %v", id, err)
			return
		}
		m.worker, m.listed.Stage, m.listed.Endpoint = worker, protocol.MachineRunning, worker.Endpoint
		c.Record.Printf("cloud: machine %s is up (%s in %s, spot %t)", id, machineType, zone, spot)
	}()
	return id
}

// release deletes a machine for a caller.
func (c *Cloud) release(caller, id string) {
	c.mu.Lock()
	m := c.machines[id]
	delete(c.machines, id)
	c.mu.Unlock()
	if m == nil {
		return
	}
	var lost []string
	if m.worker != nil {
		lost = m.worker.Kill("released by " + caller)
	}
	c.Record.Printf("cloud: %s releases %s, which runs %v", caller, id, lost)
	if c.OnRelease != nil {
		c.OnRelease(caller, id, lost)
	}
}

// Take takes a spot machine back.
func (c *Cloud) Take(id string) {
	c.mu.Lock()
	m := c.machines[id]
	delete(c.machines, id)
	c.mu.Unlock()
	if m != nil && m.worker != nil {
		m.worker.Kill("taken back by the cloud")
	}
	c.Record.Printf("cloud: machine %s is taken back", id)
}

// Alive returns the workers of all machines that are up, by name.
func (c *Cloud) Alive() map[string]*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := map[string]*Worker{}
	for id, m := range c.machines {
		if m.worker != nil {
			alive[id] = m.worker
		}
	}
	return alive
}

// Hired returns the number of machines that were rented by requests.
func (c *Cloud) Hired() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ids := range c.hires {
		n += len(ids)
	}
	return n
}
