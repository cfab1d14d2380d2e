package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// clusterOptions is what a cluster consists of.
type clusterOptions struct {
	nodes    int
	machines int
	cpus     float64       // of a machine
	runTime  time.Duration // of a task
	memoryMB float64       // of a controller
	teams    []config.Team
	policy   *config.Policy // nil: the built-in one
	kv       *fake.KVServer
}

// cluster is several controllers in this process, on loopback sockets and the real clock, with
// fakes around them.
type cluster struct {
	t            *testing.T
	ctx          context.Context
	options      clusterOptions
	nodes        []*clusterNode
	cloudAddress string
	workers      sync.WaitGroup // end with ctx
}

// clusterNode is one node of a cluster and the faults that it meets.
type clusterNode struct {
	settings *config.Settings
	kvServer *httptest.Server // the key-value store as this controller meets it
	dialer   *dialer
	stop     context.CancelFunc
	stopped  chan struct{}

	mu        sync.Mutex
	kvRejects bool // the key-value store responds 503 to this controller
}

// rejectKV makes the key-value store reject a controller's requests, or serve them again.
func (n *clusterNode) rejectKV(rejected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kvRejects = rejected
}

// kvHandler is the key-value store as a controller meets it.
func (c *cluster) kvHandler(n *clusterNode) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		rejected := n.kvRejects
		n.mu.Unlock()
		if rejected {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.options.kv.ServeHTTP(w, r)
	})
}

// newDefaultCluster starts three controllers with one team and three small machines.
func newDefaultCluster(t *testing.T) *cluster {
	t.Helper()
	return newCluster(t, clusterOptions{
		nodes:    3,
		machines: 3,
		cpus:     4,
		runTime:  300 * time.Millisecond,
		memoryMB: 100,
		teams:    []config.Team{{Name: "team", GuaranteedCPUs: 8, LimitCPUs: 12}},
		kv:       fake.NewKVServer(),
	})
}

// newCluster starts a cluster, which ends with the test.
func newCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, ctx: t.Context(), options: options}
	t.Cleanup(func() { // ctx has ended
		for _, n := range c.nodes {
			if n.stopped != nil {
				<-n.stopped
			}
			n.kvServer.CloseClientConnections()
			n.kvServer.Close()
		}
		c.workers.Wait()
	})
	c.startCloud()
	for range options.nodes {
		c.nodes = append(c.nodes, c.newNode())
	}
	for i, n := range c.nodes {
		for k, other := range c.nodes {
			if k != i {
				n.settings.Peers = append(n.settings.Peers, config.Peer{
					Name:     other.settings.Name,
					Zone:     "a",
					Endpoint: other.settings.MeshListen,
				})
			}
		}
	}
	for i := range c.nodes {
		c.start(i)
	}
	return c
}

// startCloud starts the cloud; each provisioned machine gets a worker.
func (c *cluster) startCloud() {
	cloud := fake.NewCloud(protocol.Catalog{Types: []protocol.InstanceType{{
		Name:        "m",
		CPUs:        c.options.cpus,
		MemoryGB:    64,
		CacheGB:     10,
		Price:       1,
		SpotPrice:   0.5,
		BootSeconds: 1,
		Zones:       []string{"a"},
	}}}, c.options.machines)
	cloud.OnProvision = func(m protocol.ListedMachine) {
		w := &fake.Worker{
			Machine:           m,
			Controllers:       c.addresses(),
			HeartbeatInterval: 60 * time.Millisecond,
			RunTime:           c.options.runTime,
		}
		c.workers.Go(func() { w.Run(c.ctx) })
	}
	server := httptest.NewServer(cloud)
	c.t.Cleanup(server.Close)
	c.cloudAddress = strings.TrimPrefix(server.URL, "http://")
}

// newNode returns one more node, which does not run yet, with ports that are free now.
func (c *cluster) newNode() *clusterNode {
	n := &clusterNode{dialer: newDialer()}
	n.kvServer = httptest.NewServer(c.kvHandler(n))
	n.settings = &config.Settings{
		Name:         fmt.Sprintf("n-%d", len(c.nodes)),
		Zone:         "a",
		ClientListen: freeAddress(c.t),
		MeshListen:   freeAddress(c.t),
		Services: config.Services{
			Cloud:   c.cloudAddress,
			KVStore: strings.TrimPrefix(n.kvServer.URL, "http://"),
		},
		Fleet: config.Fleet{
			Zones:     []string{"a"},
			Teams:     c.options.teams,
			Workers:   config.Workers{HeartbeatS: 0.1, LeaseS: 8, CancelS: 10},
			KVLimits:  config.KVLimits{RPS: 1000, WriteRPS: 800, ValueKB: 8, TxnOps: 12},
			Cloud:     config.CloudLimits{RPS: 50},
			Resources: config.Resources{CoreShare: 1, RAMMB: c.options.memoryMB, MaxConnections: 400},
		},
	}
	return n
}

// start starts a controller, for the first time or again.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	ctx, stop := context.WithCancel(c.ctx)
	stopped := make(chan struct{})
	n.stop, n.stopped = stop, stopped
	daemon := New(n.settings, Deps{
		Dial:   transport.DialFunc(n.dialer.dial),
		Policy: c.options.policy,
		Log:    nodeLog(n.settings.Name),
	})
	go func() { // stop and the end of the test wait for it
		defer close(stopped)
		if err := daemon.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", n.settings.Name, err)
		}
	}()
}

// stop stops a controller and waits for its end; start starts it again.
func (c *cluster) stop(i int) {
	c.nodes[i].stop()
	<-c.nodes[i].stopped
}

// addresses returns where the controllers serve users and workers.
func (c *cluster) addresses() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.settings.ClientListen)
	}
	return out
}
