package standin2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// cloud is a stand-in for the cloud. It has one listener for each node, so that the record tells
// who sent a request. Its list lags by the time in the settings.
type cloud struct {
	w *world

	mu       sync.Mutex
	created  int
	machines map[string]*worker
	hires    map[string][]string
	capacity int
	// holdRelease is called with each request to release machines; if it returns true, the request gets
	// no answer.
	holdRelease func(node int, ids []string) bool
	// onRelease is called for each released machine, before it ends.
	onRelease func(node int, m *worker)
}

const cloudLatency = 200 * time.Millisecond

// firstAge is the age of the machines that are up at the start, so that the list shows them.
const firstAge = 5 * time.Minute

// addMachine adds a machine that is up at the start.
func (c *cloud) addMachine(loom, yard string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(loom, yard, false, 0).created = time.Now().Add(-firstAge)
}

func (c *cloud) addLocked(loom, yard string, spot bool, boot time.Duration) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(c.w.ctx)
	m := &worker{
		w: c.w, id: fmt.Sprintf("i-%06d", c.created), loom: loom, yard: yard, spot: spot, cpus: c.w.loomCPUs(loom),
		endpoint: listener.Addr().String(), created: time.Now(), bootFor: boot, listener: listener,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}, cancel: cancel,
		shift: 1, leaseStart: time.Now(), images: map[string]bool{}, tasks: map[string]*task{}, node: c.created % len(c.w.nodes),
	}
	m.server = &http.Server{Handler: http.HandlerFunc(m.serveDirect), ReadHeaderTimeout: time.Minute}
	c.created++
	c.machines[m.id] = m
	go m.run(ctx)
	return m
}

// all returns the machines in the order of their names.
func (c *cloud) all() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allLocked()
}

func (c *cloud) allLocked() []*worker {
	var all []*worker
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// serve answers a request of a node.
func (c *cloud) serve(node int, rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	c.w.rec.log("node %d -> cloud: %s %s", node, r.Method, r.URL.Path)
	time.Sleep(cloudLatency)
	switch {
	case r.URL.Path == protocol.PathCatalog:
		answer(rw, http.StatusOK, protocol.Catalog{Types: c.w.catalog})
	case r.URL.Path == protocol.PathMachines && r.Method == http.MethodGet:
		c.list(rw, r.URL.Query().Get("from"))
	case r.URL.Path == protocol.PathMachines:
		c.hire(node, rw, raw)
	case r.URL.Path == protocol.PathScaleIn:
		var ids protocol.MachineIDs
		_ = protocol.Decode(raw, &ids)
		c.w.rec.log("node %d -> cloud: release %v", node, ids.Machines)
		c.mu.Lock()
		hold := c.holdRelease
		c.mu.Unlock()
		if hold != nil && hold(node, ids.Machines) {
			panic(http.ErrAbortHandler)
		}
		c.release(node, ids.Machines)
		answer(rw, http.StatusOK, struct{}{})
	default:
		rw.WriteHeader(http.StatusBadRequest)
	}
}

// list answers with the machines as of the lag ago.
func (c *cloud) list(rw http.ResponseWriter, from string) {
	asOf := time.Now().Add(-c.w.listLag)
	page := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	c.mu.Lock()
	for _, m := range c.allLocked() {
		m.mu.Lock()
		gone := !m.gone.IsZero() && m.gone.Before(asOf)
		m.mu.Unlock()
		if m.id <= from || m.created.After(asOf) || gone {
			continue
		}
		stage := protocol.MachineRunning
		if m.created.Add(m.bootFor).After(asOf) {
			stage = protocol.MachineBooting
		}
		page.Machines = append(page.Machines, protocol.ListedMachine{ID: m.id, Endpoint: m.endpoint, InstanceType: m.loom,
			Zone: m.yard, Spot: m.spot, Stage: stage, AgeSeconds: asOf.Sub(m.created).Seconds()})
	}
	c.mu.Unlock()
	answer(rw, http.StatusOK, page)
}

// hire rents machines up to the capacity.
func (c *cloud) hire(node int, rw http.ResponseWriter, raw []byte) {
	var request protocol.ScaleOutRequest
	if protocol.Decode(raw, &request) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, repeated := c.hires[request.RequestID]
	live := 0
	for _, m := range c.machines {
		if m.live() {
			live++
		}
	}
	for ; !repeated && len(ids) < request.Count && live < c.capacity; live++ {
		ids = append(ids, c.addLocked(request.InstanceType, request.Zone, request.Spot, c.w.boot).id)
	}
	c.w.rec.log("node %d -> cloud: hire %s %d %s in %s, got %v", node, request.RequestID, request.Count, request.InstanceType, request.Zone, ids)
	if len(ids) == 0 {
		answer(rw, http.StatusServiceUnavailable, protocol.ErrorResponse{Message: "no capacity"})
		return
	}
	c.hires[request.RequestID] = ids
	answer(rw, http.StatusOK, protocol.MachineIDs{Machines: ids})
}

func (c *cloud) release(node int, ids []string) {
	for _, id := range ids {
		c.mu.Lock()
		m, onRelease := c.machines[id], c.onRelease
		c.mu.Unlock()
		if m == nil || !m.live() {
			continue
		}
		if onRelease != nil {
			onRelease(node, m)
		}
		m.remove(fmt.Sprintf("released by node %d", node))
	}
}

// answer writes a CBOR answer.
func answer(rw http.ResponseWriter, status int, body any) {
	rw.WriteHeader(status)
	_, _ = rw.Write(protocol.Encode(body))
}
