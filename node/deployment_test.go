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

// deployment is a simulated deployment on a simulated clock: complete controllers, machines,
// users, a key-value store and a cloud. Tests inject faults, and the invariant checker checks the
// tasks that machines run and the responses that users receive.
type deployment struct {
	t          *testing.T
	ctx        context.Context
	network    *fake.Network
	invariants *fake.InvariantChecker
	kv         *fake.KVServer
	cloud      *fake.Cloud
	fleet      config.Fleet
	background sync.WaitGroup // goroutines that end when ctx is cancelled
	policy     func(controller int) *config.Policy
	admission  *admissioncheck.Checker // nil: admission is not checked

	mu              sync.Mutex // guards the fields below
	random          *rand.Rand
	controllers     []*simulatedController
	machines        []*fake.Machine
	jobCount        int
	kvDown          bool
	kvDelay         time.Duration
	kvListDelay     time.Duration // additional delay of key listings
	lateCommitShare float64       // share of transactions that get no response and are applied later
	// kvResponseDelay returns a channel. The key-value store executes a request at once and
	// withholds the response until the channel is ready. nil: no delay.
	kvResponseDelay func(controller int, r *http.Request, body []byte) <-chan time.Time
}

const (
	kvPort       = ":8001"
	meshPort     = ":8002"
	cloudAddress = "cloud:80"
)

// Defaults of deploymentOptions.
const (
	defaultControllers       = 3
	defaultMachines          = 6
	defaultHeartbeatInterval = time.Second
	defaultMemoryMB          = 100.0
	defaultCancelTimeout     = 11 * time.Second // slightly longer than workerLease
	defaultMaxConnections    = 400
	defaultKVRPS             = 500.0
)

const (
	machineCPUs = 4.0 // per machine
	workerLease = 10 * time.Second
)

var zones = []string{"a", "b"}

// deploymentOptions configures a deployment. Zero values select the defaults.
type deploymentOptions struct {
	machines          int     // total; half of them in each zone
	quotaLimit        float64 // CPUs of the team; 0: those of all machines
	cancelTimeout     time.Duration
	heartbeatInterval time.Duration
	memoryMB          float64 // per controller
	maxConnections    int     // per controller
	kvRPS             float64 // requests per second that the key-value store serves
	controllers       int
	seed              uint64
	policy            func(controller int) *config.Policy // nil: the built-in policy for every controller
}

const (
	startupTime  = 20 * time.Second // until machines are provisioned and send heartbeats
	recoveryTime = 90 * time.Second // after the last fault; every job must have ended by then
	drainTime    = time.Minute      // for pending connections to end
)

// simulate runs a scenario on a new deployment, then clears all faults and checks that
// every job ends and that no invariant was violated.
func simulate(t *testing.T, options deploymentOptions, scenario func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(ctx, t, options.withDefaults())
		for i := range d.controllers {
			d.start(i)
		}
		d.background.Go(d.watchCancellations)
		d.sleep(startupTime)
		scenario(d)
		d.clearFaults()
		d.sleep(recoveryTime)
		if unfinished := d.invariants.UnfinishedJobs(); len(unfinished) > 0 {
			t.Errorf("%v after the last fault, these jobs have not ended: %v", recoveryTime, unfinished)
		}
		if d.invariants.Starts() == 0 {
			t.Error("no task started")
		}
		for _, violation := range d.invariants.Violations() {
			t.Error(violation)
		}
		cancel()
		for i := range d.controllers {
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
	o.controllers = cmp.Or(o.controllers, defaultControllers)
	o.maxConnections = cmp.Or(o.maxConnections, defaultMaxConnections)
	o.kvRPS = cmp.Or(o.kvRPS, defaultKVRPS)
	return o
}

// newDeployment returns a deployment whose controllers are not running yet.
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
	d.cloud = cloud
	cloud.OnProvision, cloud.OnRelease = d.startMachine, d.stopMachine
	d.serve(cloudAddress, cloud)
	for i := range options.controllers {
		d.controllers = append(d.controllers, &simulatedController{name: fmt.Sprintf("n-%d", i)})
		d.serve(d.controllers[i].name+kvPort, d.kvHandler(i))
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

// watchCancellations has the invariant checker check running tasks against cancellations until ctx
// is cancelled.
func (d *deployment) watchCancellations() {
	for d.ctx.Err() == nil {
		d.invariants.CheckCancellations()
		d.sleep(100 * time.Millisecond)
	}
}

// sleep returns after a duration or when the deployment ends.
func (d *deployment) sleep(duration time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(duration):
	}
}

// update calls change with the lock held.
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

// waitUntil waits for a condition, and fails the test if it does not hold within a minute.
func (d *deployment) waitUntil(description string, condition func() bool) {
	d.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		d.sleep(100 * time.Millisecond)
	}
	d.t.Fatalf("condition not met within a minute: %s", description)
}
