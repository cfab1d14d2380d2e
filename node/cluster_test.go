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

// clusterOptions configures a cluster.
type clusterOptions struct {
	controllers int
	machines    int
	cpus        float64       // per machine
	runTime     time.Duration // per task
	memoryMB    float64       // per controller
	teams       []config.Team
	policy      *config.Policy // nil: the built-in policy
	kv          *fake.KVServer
}

// cluster is several controllers in this process, on loopback sockets and the real clock, with a
// fake cloud, fake workers and a fake key-value store.
type cluster struct {
	t            *testing.T
	ctx          context.Context
	options      clusterOptions
	controllers  []*clusterController
	cloudAddress string
	workers      sync.WaitGroup // running workers, which stop when ctx is cancelled
}

// clusterController is one controller of a cluster, with the faults injected into it.
type clusterController struct {
	settings *config.Settings
	kvServer *httptest.Server // serves the key-value store to this controller alone
	dialer   *dialer
	stop     context.CancelFunc
	stopped  chan struct{}

	mu        sync.Mutex
	kvRejects bool // the key-value store responds 503 to this controller
}

// setKVRejection sets whether the key-value store rejects the requests of this controller.
func (c *clusterController) setKVRejection(rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kvRejects = rejected
}

// kvHandler serves the key-value store to one controller, with the faults injected into it.
func (c *cluster) kvHandler(controller *clusterController) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller.mu.Lock()
		rejected := controller.kvRejects
		controller.mu.Unlock()
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
		controllers: 3,
		machines:    3,
		cpus:        4,
		runTime:     300 * time.Millisecond,
		memoryMB:    100,
		teams:       []config.Team{{Name: "team", GuaranteedCPUs: 8, LimitCPUs: 12}},
		kv:          fake.NewKVServer(),
	})
}

// newCluster starts a cluster, which is stopped when the test ends.
func newCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, ctx: t.Context(), options: options}
	t.Cleanup(func() { // ctx has been cancelled by then
		for _, n := range c.controllers {
			if n.stopped != nil {
				<-n.stopped
			}
			n.kvServer.CloseClientConnections()
			n.kvServer.Close()
		}
		c.workers.Wait()
	})
	c.startCloud()
	for range options.controllers {
		c.controllers = append(c.controllers, c.newController())
	}
	for i, n := range c.controllers {
		for k, other := range c.controllers {
			if k != i {
				n.settings.Peers = append(n.settings.Peers, config.Peer{
					Name:     other.settings.Name,
					Zone:     "a",
					Endpoint: other.settings.MeshListen,
				})
			}
		}
	}
	for i := range c.controllers {
		c.start(i)
	}
	return c
}

// startCloud starts the cloud, which starts a worker on each provisioned machine.
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

// newController returns a controller that is not running yet, with ports that are free now.
func (c *cluster) newController() *clusterController {
	controller := &clusterController{dialer: newDialer()}
	controller.kvServer = httptest.NewServer(c.kvHandler(controller))
	controller.settings = &config.Settings{
		Name:         fmt.Sprintf("n-%d", len(c.controllers)),
		Zone:         "a",
		ClientListen: freeAddress(c.t),
		MeshListen:   freeAddress(c.t),
		Services: config.Services{
			Cloud:   c.cloudAddress,
			KVStore: strings.TrimPrefix(controller.kvServer.URL, "http://"),
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
	return controller
}

// start starts a controller, for the first time or after stop.
func (c *cluster) start(i int) {
	controller := c.controllers[i]
	ctx, stop := context.WithCancel(c.ctx)
	stopped := make(chan struct{})
	controller.stop, controller.stopped = stop, stopped
	daemon := New(controller.settings, Deps{
		Dial:   transport.DialFunc(controller.dialer.dial),
		Policy: c.options.policy,
		Log:    controllerLog(controller.settings.Name),
	})
	go func() { // stop and the cleanup of the test wait until it returns
		defer close(stopped)
		if err := daemon.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", controller.settings.Name, err)
		}
	}()
}

// stop stops a controller and waits until it has ended.
func (c *cluster) stop(i int) {
	c.controllers[i].stop()
	<-c.controllers[i].stopped
}

// addresses returns the addresses at which the controllers serve users and workers.
func (c *cluster) addresses() []string {
	var out []string
	for _, n := range c.controllers {
		out = append(out, n.settings.ClientListen)
	}
	return out
}
