package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/fake/admissioncheck"
	"dunestand/internal/protocol"
)

// deployment is a simulated deployment on a simulated clock: whole controllers, machines,
// users, a key-value store and a cloud. Tests inject faults; the invariant checker, which
// sees what machines do and users are told, decides whether anything is wrong.
type deployment struct {
	t          *testing.T
	ctx        context.Context
	network    *fake.Network
	invariants *fake.InvariantChecker
	kv         *fake.KVServer
	fleet      config.Fleet
	background sync.WaitGroup // all that ends with ctx
	policy     func(node int) *config.Policy
	admission  *admissioncheck.Checker // nil: nobody checks how jobs are admitted

	mu              sync.Mutex // guards all below
	random          *rand.Rand
	nodes           []*simulatedNode
	machines        []*fake.Machine
	jobCount        int
	kvDown          bool
	kvDelay         time.Duration
	kvListDelay     time.Duration // for lists of keys alone
	lateCommitShare float64       // share of transactions that get no response and are carried out later
	// kvResponseDelay holds back the store's response to a request that was carried out
	// until the returned channel is ready; nil: no delay.
	kvResponseDelay func(node int, r *http.Request, body []byte) <-chan time.Time
}

const (
	kvPort       = ":8001"
	meshPort     = ":8002"
	cloudAddress = "cloud:80"
)

// What a deployment has unless its options say otherwise.
const (
	defaultNodes             = 3
	defaultMachines          = 6
	defaultHeartbeatInterval = time.Second
	defaultMemoryMB          = 100.0
	defaultCancelTimeout     = 11 * time.Second // little more than workerLease
	defaultMaxConnections    = 400
	defaultKVRPS             = 500.0
)

const (
	machineCPUs = 4.0 // of each machine
	workerLease = 10 * time.Second
)

var zones = []string{"a", "b"}

// deploymentOptions is how a deployment differs from the default. Zero values are defaults.
type deploymentOptions struct {
	machines          int     // in all, half of them in each zone
	quotaLimit        float64 // processors of the team; 0: all
	cancelTimeout     time.Duration
	heartbeatInterval time.Duration
	memoryMB          float64 // of a controller
	maxConnections    int     // of a controller
	kvRPS             float64 // requests a second that the store serves
	nodes             int     // controllers
	seed              uint64
	policy            func(node int) *config.Policy // nil: the built-in one everywhere
}

const (
	startupTime  = 20 * time.Second // machines are provisioned and send heartbeats
	recoveryTime = 90 * time.Second // after the last fault; every job must be over by then
	drainTime    = time.Minute      // for connections that still wait for something
)

// simulate runs a scenario on a new deployment, then clears all faults and checks that
// every job ends and that no invariant was violated.
func simulate(t *testing.T, options deploymentOptions, scenario func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(ctx, t, options.withDefaults())
		for i := range d.nodes {
			d.start(i)
		}
		d.background.Go(d.watchCancellations)
		d.sleep(startupTime)
		scenario(d)
		d.clearFaults()
		d.sleep(recoveryTime)
		if open := d.invariants.UnfinishedJobs(); len(open) > 0 {
			t.Errorf("%v after the last fault these jobs are not over: %v", recoveryTime, open)
		}
		if d.invariants.Starts() == 0 {
			t.Error("no task started")
		}
		for _, violation := range d.invariants.Violations() {
			t.Error(violation)
		}
		cancel()
		for i := range d.nodes {
			d.stop(i)
		}
		d.network.Close()
		d.background.Wait()
		time.Sleep(drainTime)
	})
}

func (o deploymentOptions) withDefaults() deploymentOptions {
	o.machines = cmp.Or(o.machines, defaultMachines)
	o.quotaLimit = cmp.Or(o.quotaLimit, machineCPUs*float64(o.machines))
	o.cancelTimeout = cmp.Or(o.cancelTimeout, defaultCancelTimeout)
	o.heartbeatInterval = cmp.Or(o.heartbeatInterval, defaultHeartbeatInterval)
	o.memoryMB = cmp.Or(o.memoryMB, defaultMemoryMB)
	o.nodes = cmp.Or(o.nodes, defaultNodes)
	o.maxConnections = cmp.Or(o.maxConnections, defaultMaxConnections)
	o.kvRPS = cmp.Or(o.kvRPS, defaultKVRPS)
	return o
}

// newDeployment returns a deployment whose controllers do not run yet.
func newDeployment(ctx context.Context, t *testing.T, options deploymentOptions) *deployment {
	d := &deployment{
		t:          t,
		ctx:        ctx,
		network:    fake.NewNetwork(),
		invariants: fake.NewInvariantChecker(options.quotaLimit, options.cancelTimeout),
		kv:         fake.NewKVServer(),
		random:     rand.New(rand.NewPCG(options.seed, 7)),
		policy:     options.policy,
		fleet:      options.fleet(),
	}
	cloud := fake.NewCloud(protocol.Catalog{Types: []protocol.InstanceType{{
		Name:        "m",
		CPUs:        machineCPUs,
		MemoryGB:    64,
		CacheGB:     10,
		FetchRate:   1,
		Price:       1,
		SpotPrice:   0.5,
		BootSeconds: 1,
		Zones:       zones,
	}}}, options.machines/len(zones))
	cloud.OnProvision, cloud.OnRelease = d.startMachine, d.stopMachine
	d.serve(cloudAddress, cloud)
	for i := range options.nodes {
		d.nodes = append(d.nodes, &simulatedNode{name: fmt.Sprintf("n-%d", i)})
		d.serve(d.nodes[i].name+kvPort, d.kvHandler(i))
	}
	return d
}

// fleet returns the settings that all controllers share.
func (o deploymentOptions) fleet() config.Fleet {
	totalCPUs := machineCPUs * float64(o.machines)
	return config.Fleet{
		Zones: zones,
		// The other team has no work; its guarantee keeps all machines provisioned.
		Teams: []config.Team{
			{Name: "team", GuaranteedCPUs: o.quotaLimit, LimitCPUs: o.quotaLimit},
			{Name: "other", GuaranteedCPUs: totalCPUs, LimitCPUs: totalCPUs},
		},
		Workers: config.Workers{
			HeartbeatS: o.heartbeatInterval.Seconds(),
			LeaseS:     workerLease.Seconds(),
			CancelS:    o.cancelTimeout.Seconds(),
		},
		KVLimits:  config.KVLimits{RPS: o.kvRPS, WriteRPS: 0.8 * o.kvRPS, ValueKB: 8, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 50, ListLagS: 1},
		Resources: config.Resources{CoreShare: 1, RAMMB: o.memoryMB, MaxConnections: o.maxConnections},
	}
}

// watchCancellations has the invariant checker look at running tasks until ctx ends.
func (d *deployment) watchCancellations() {
	for d.ctx.Err() == nil {
		d.invariants.CheckCancellations()
		d.sleep(100 * time.Millisecond)
	}
}

// sleep returns after a time or when the deployment ends.
func (d *deployment) sleep(duration time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(duration):
	}
}

// update changes fields under the lock.
func (d *deployment) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// randomBelow returns a random number below n.
func (d *deployment) randomBelow(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// waitUntil waits for a condition, and fails the test if it does not hold after a minute.
func (d *deployment) waitUntil(description string, condition func() bool) {
	d.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		d.sleep(100 * time.Millisecond)
	}
	d.t.Fatalf("not after a minute: %s", description)
}
