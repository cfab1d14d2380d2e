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
type clusterPlan struct {
	nodes    int
	machines int
	cpus     float64 // of a machine
	runs     time.Duration
	memoryMB float64 // of a node
	teams    []config.Team
	policy   *config.Policy
	state    *standin.State
}

// cluster is several nodes in this process, on loopback sockets, with stand-ins around
// them.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	plan    clusterPlan
	members []*member
	cloud   string
	mu      sync.Mutex
	tries   map[string]int // starts of each task
}

// member is one node of a cluster, and what it meets.
type member struct {
	settings *config.Settings
	state    *httptest.Server
	links    *links
	stop     context.CancelFunc
	ended    chan struct{}
	// refused: the state service answers it 503.
	mu      sync.Mutex
	refused bool
}

// links opens a node's connections, and cuts them.
type links struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn]string
}

func (l *links) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cut[addr]
	l.mu.Unlock()
	if cut {
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
func (l *links) set(addr string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[addr] = cut
	for conn, to := range l.conns {
		if cut && to == addr {
			_ = conn.Close()
			delete(l.conns, conn)
		}
	}
}

// refuse has the state service refuse a node, or serve it again.
func (m *member) refuse(refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = refused
}

// stateOf is the state service as a node meets it.
func (c *cluster) stateOf(m *member) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		refused := m.refused
		m.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.plan.state.ServeHTTP(w, r)
	})
}

// newCluster makes a cluster and starts its nodes.
func newCluster(t *testing.T, plan clusterPlan) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, plan: plan, tries: map[string]int{}}
	t.Cleanup(func() {
		cancel()
		for _, m := range c.members {
			if m.ended != nil {
				<-m.ended
			}
			m.state.CloseClientConnections()
			m.state.Close()
		}
	})
	c.startCloud()
	for range plan.nodes {
		c.members = append(c.members, c.newMember())
	}
	for i, m := range c.members {
		for k, other := range c.members {
			if k != i {
				m.settings.Others = append(m.settings.Others, config.Peer{
					Node:     other.settings.Node,
					Zone:     "a",
					Endpoint: other.settings.MeshListen,
				})
			}
		}
	}
	for i := range c.members {
		c.start(i)
	}
	return c
}

// startCloud starts the cloud; each rented machine gets a worker.
func (c *cluster) startCloud() {
	fleet := standin.NewCloud(protocol.Catalog{Types: []protocol.InstanceType{{
		Name:      "m",
		CPUs:      c.plan.cpus,
		MemoryGB:  64,
		CacheGB:   10,
		Price:     1,
		SpotPrice: 0.5,
		BootS:     1,
		Zones:     []string{"a"},
	}}}, c.plan.machines)
	fleet.Rented = func(m protocol.ListedMachine) {
		w := &standin.Worker{
			Machine: m,
			Nodes:   c.addresses(),
			Every:   60 * time.Millisecond,
			Runs:    c.plan.runs,
			Started: func(task string, _ uint64) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.tries[task]++
			},
		}
		go w.Run(c.ctx)
	}
	server := httptest.NewServer(fleet)
	c.t.Cleanup(server.Close)
	c.cloud = strings.TrimPrefix(server.URL, "http://")
}

// newMember makes the settings of one more node, with ports that are free now.
func (c *cluster) newMember() *member {
	m := &member{links: &links{cut: map[string]bool{}, conns: map[net.Conn]string{}}}
	m.state = httptest.NewServer(c.stateOf(m))
	m.settings = &config.Settings{
		Node:         fmt.Sprintf("n-%d", len(c.members)),
		Zone:         "a",
		ClientListen: freeAddress(c.t),
		MeshListen:   freeAddress(c.t),
		Services: config.Services{
			Cloud: c.cloud,
			State: strings.TrimPrefix(m.state.URL, "http://"),
		},
		Fleet: config.Fleet{
			Zones:     []string{"a"},
			Teams:     c.plan.teams,
			Workers:   config.Workers{ReportS: 0.1, LeaseS: 8, CancelS: 10},
			State:     config.State{RPS: 1000, WriteRPS: 800, ValueKB: 8, TxnOps: 12},
			Cloud:     config.Cloud{RPS: 50},
			Resources: config.Resources{CoreShare: 1, RAMMB: c.plan.memoryMB, MaxConnections: 400},
		},
	}
	return m
}

func freeAddress(t *testing.T) string {
	l := loopback(t)
	defer l.Close()
	return l.Addr().String()
}

// start starts a node, for the first time or again.
func (c *cluster) start(i int) {
	m := c.members[i]
	ctx, stop := context.WithCancel(c.ctx)
	done := make(chan struct{})
	m.stop, m.ended = stop, done
	var log *slog.Logger
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", m.settings.Node)
	}
	n := New(m.settings, Deps{Dial: transport.DialFunc(m.links.dial), Policy: c.plan.policy, Log: log})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", m.settings.Node, err)
		}
	}()
}

// kill ends a node; start starts it again.
func (c *cluster) kill(i int) {
	c.members[i].stop()
	<-c.members[i].ended
}

// addresses lists where the nodes take users and workers.
func (c *cluster) addresses() []string {
	var out []string
	for _, m := range c.members {
		out = append(out, m.settings.ClientListen)
	}
	return out
}

// startCluster is three nodes with one team and three small machines.
func startCluster(t *testing.T) *cluster {
	return newCluster(t, clusterPlan{
		nodes:    3,
		machines: 3,
		cpus:     4,
		runs:     300 * time.Millisecond,
		memoryMB: 100,
		teams:    []config.Team{{Name: "team", CPUs: 8, CPUsMax: 12}},
		state:    standin.NewState(),
	})
}
