package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/transport"
)

// clusterPlan is what a cluster on loopback sockets is made of.
type clusterOptions struct {
	nodes    int
	machines int
	cpus     float64 // of a machine
	runTime  time.Duration
	memoryMB float64 // of a node
	teams    []config.Team
	policy   *config.Policy
	kv       *standin.State
}

// cluster is several nodes in this process, on loopback sockets, with stand-ins around
// them.
type cluster struct {
	t            *testing.T
	ctx          context.Context
	options      clusterOptions
	nodes        []*clusterNode
	cloudAddress string
	mu           sync.Mutex
	tries        map[string]int // starts of each task
}

// member is one node of a cluster, and what it meets.
type clusterNode struct {
	settings *config.Settings
	kvServer *httptest.Server
	dialer   *dialer
	stop     context.CancelFunc
	stopped  chan struct{}
	// refused: the state service answers it 503.
	mu        sync.Mutex
	kvRejects bool
}

// links opens a node's connections, and cuts them.
type dialer struct {
	mu          sync.Mutex
	partitioned map[string]bool
	conns       map[net.Conn]string
}

func (l *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	partitioned := l.partitioned[addr]
	l.mu.Unlock()
	if partitioned {
		<-ctx.Done() // packets are lost
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = addr
	return conn, nil
}

// set cuts a node off from an address, one way: what it opened is lost. Or it joins them
// again.
func (l *dialer) setPartitioned(addr string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[addr] = partitioned
	for conn, to := range l.conns {
		if partitioned && to == addr {
			_ = conn.Close()
			delete(l.conns, conn)
		}
	}
}

// refuse has the state service refuse a node, or serve it again.
func (m *clusterNode) rejectKV(rejected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kvRejects = rejected
}

// stateOf is the state service as a node meets it.
func (c *cluster) kvHandler(m *clusterNode) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		rejected := m.kvRejects
		m.mu.Unlock()
		if rejected {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.options.kv.ServeHTTP(w, r)
	})
}

// newCluster makes a cluster and starts its nodes.
func newCluster(t *testing.T, options clusterOptions) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, options: options, tries: map[string]int{}}
	t.Cleanup(func() {
		cancel()
		for _, m := range c.nodes {
			if m.stopped != nil {
				<-m.stopped
			}
			m.kvServer.CloseClientConnections()
			m.kvServer.Close()
		}
	})
	c.startCloud()
	for range options.nodes {
		c.nodes = append(c.nodes, c.newNode())
	}
	for i, m := range c.nodes {
		for k, other := range c.nodes {
			if k != i {
				m.settings.Others = append(m.settings.Others, config.Peer{
					Node:     other.settings.Node,
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

// startCloud starts the cloud; each rented machine gets a worker.
func (c *cluster) startCloud() {
	cloud := standin.NewCloud(protocol.Catalog{Types: []protocol.MachineType{{
		Name:      "m",
		CPUs:      c.options.cpus,
		MemoryGB:  64,
		CacheGB:   10,
		Price:     1,
		SpotPrice: 0.5,
		BootS:     1,
		Zones:     []string{"a"},
	}}}, c.options.machines)
	cloud.OnProvision = func(m protocol.ListedMachine) {
		w := &standin.Worker{
			Machine:           m,
			Controllers:       c.addresses(),
			HeartbeatInterval: 60 * time.Millisecond,
			RunTime:           c.options.runTime,
			OnStart: func(task string, _ uint64) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.tries[task]++
			},
		}
		go w.Run(c.ctx)
	}
	server := httptest.NewServer(cloud)
	c.t.Cleanup(server.Close)
	c.cloudAddress = strings.TrimPrefix(server.URL, "http://")
}

// newMember makes the settings of one more node, with ports that are free now.
func (c *cluster) newNode() *clusterNode {
	m := &clusterNode{dialer: &dialer{partitioned: map[string]bool{}, conns: map[net.Conn]string{}}}
	m.kvServer = httptest.NewServer(c.kvHandler(m))
	m.settings = &config.Settings{
		Node:         fmt.Sprintf("n-%d", len(c.nodes)),
		Zone:         "a",
		ClientListen: freeAddress(c.t),
		MeshListen:   freeAddress(c.t),
		Services: config.Services{
			Cloud: c.cloudAddress,
			State: strings.TrimPrefix(m.kvServer.URL, "http://"),
		},
		Fleet: config.Fleet{
			Zones:     []string{"a"},
			Teams:     c.options.teams,
			Workers:   config.Workers{ReportS: 0.1, LeaseS: 8, CancelS: 10},
			State:     config.State{RPS: 1000, WriteRPS: 800, ValueKB: 8, TxnOps: 12},
			Cloud:     config.Cloud{RPS: 50},
			Resources: config.Resources{CoreShare: 1, RAMMB: c.options.memoryMB, MaxConnections: 400},
		},
	}
	return m
}

func freeAddress(t *testing.T) string {
	l := listenLoopback(t)
	defer l.Close()
	return l.Addr().String()
}

// start starts a node, for the first time or again.
func (c *cluster) start(i int) {
	m := c.nodes[i]
	ctx, stop := context.WithCancel(c.ctx)
	done := make(chan struct{})
	m.stop, m.stopped = stop, done
	var log *slog.Logger
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", m.settings.Node)
	}
	daemon := New(m.settings, Deps{Dial: transport.DialFunc(m.dialer.dial), Policy: c.options.policy, Log: log})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", m.settings.Node, err)
		}
	}()
}

// kill ends a node; start starts it again.
func (c *cluster) stop(i int) {
	c.nodes[i].stop()
	<-c.nodes[i].stopped
}

// addresses lists where the nodes take users and workers.
func (c *cluster) addresses() []string {
	var out []string
	for _, m := range c.nodes {
		out = append(out, m.settings.ClientListen)
	}
	return out
}

// startCluster is three nodes with one team and three small machines.
func newDefaultCluster(t *testing.T) *cluster {
	return newCluster(t, clusterOptions{
		nodes:    3,
		machines: 3,
		cpus:     4,
		runTime:  300 * time.Millisecond,
		memoryMB: 100,
		teams:    []config.Team{{Name: "team", CPUs: 8, CPUsMax: 12}},
		kv:       standin.NewState(),
	})
}
