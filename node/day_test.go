package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/standin/admissioncheck"
	"dunestand/internal/units"
)

// day is a few minutes of a small deployment: whole controllers, machines, users, a
// state service and a cloud, on a clock of its own. Tests bring troubles about and
// then ask the rule checker, which sees what machines do and users are told.
type deployment struct {
	t          *testing.T
	ctx        context.Context
	network    *standin.Network
	invariants *standin.InvariantChecker
	kv         *standin.State
	random     *rand.Rand
	fleet      config.Fleet
	began      time.Time

	mu              sync.Mutex
	nodes           []*simulatedNode
	machines        []*standin.Machine
	kvDown          bool
	kvDelay         time.Duration
	kvListDelay     time.Duration // for lists of keys alone
	lateCommitShare float64       // share of transactions that are carried out later, unanswered
	// answerDelay is for how long an answer of the state service, to a request that was
	// carried out, is held back; nil: not at all.
	kvResponseDelay func(node int, r *http.Request, body []byte) <-chan time.Time
	cloudDown       bool
	jobCount        int

	policy    func(node int) *config.Policy // nil: the built-in one everywhere
	admission *admissioncheck.Checker       // nil: nobody checks how jobs are admitted
}

// controller is one node and what keeps it from the others.
type simulatedNode struct {
	name      string
	stop      context.CancelFunc
	stopped   chan struct{}
	kvRejects bool // by the state service
}

const (
	kvPort                   = ":8001"
	meshPort                 = ":8002"
	cloudAddress             = "cloud:80"
	defaultNodes             = 3
	machineCPUs              = 4.0 // of a machine
	defaultHeartbeatInterval = time.Second
	defaultMemoryMB          = 100.0 // MB
	workerLease              = 10 * time.Second
	defaultCancelTimeout     = 11 * time.Second // little more than the workers' lease
)

var zones = []string{"a", "b"}

// plan is how a day differs from the usual one.
type deploymentOptions struct {
	machines          int     // in all, half of them in each zone
	quotaLimit        float64 // processors of the team
	cancelTimeout     time.Duration
	heartbeatInterval time.Duration
	memoryMB          float64 // of a controller
	nodes             int     // controllers
	seed              uint64
	policy            func(node int) *config.Policy // nil: the built-in one everywhere
}

// play runs a day: the troubles, and then calm until no job may wait any more.
func simulate(t *testing.T, options deploymentOptions, scenario func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t, ctx, options.withDefaults())
		for i := range d.nodes {
			d.start(i)
		}
		go func() {
			for ctx.Err() == nil {
				d.invariants.CheckCancellations()
				d.sleep(100 * time.Millisecond)
			}
		}()
		d.sleep(20 * time.Second) // machines are rented and report
		scenario(d)
		d.clearFaults()
		d.sleep(90 * time.Second)
		if open := d.invariants.UnfinishedJobs(); len(open) > 0 {
			t.Errorf("90 s after the troubles these jobs are not over: %v", open)
		}
		if d.invariants.Starts() == 0 {
			t.Error("nothing ran")
		}
		for _, violation := range d.invariants.Violations() {
			t.Error(violation)
		}
		cancel()
		for i := range d.nodes {
			d.stop(i)
		}
		d.network.Close()
		time.Sleep(time.Minute) // whatever still waits for something ends
	})
}

// withDefaults fills in what a plan leaves open.
func (o deploymentOptions) withDefaults() deploymentOptions {
	if o.machines == 0 {
		o.machines = 6
	}
	if o.quotaLimit == 0 {
		o.quotaLimit = machineCPUs * float64(o.machines)
	}
	if o.cancelTimeout == 0 {
		o.cancelTimeout = defaultCancelTimeout
	}
	if o.heartbeatInterval == 0 {
		o.heartbeatInterval = defaultHeartbeatInterval
	}
	if o.memoryMB == 0 {
		o.memoryMB = defaultMemoryMB
	}
	if o.nodes == 0 {
		o.nodes = defaultNodes
	}
	return o
}

// newDay makes a day's network, state service and cloud; no controller runs yet.
func newDeployment(t *testing.T, ctx context.Context, options deploymentOptions) *deployment {
	d := &deployment{
		t:          t,
		ctx:        ctx,
		network:    standin.NewNetwork(),
		invariants: standin.NewInvariantChecker(options.quotaLimit, options.cancelTimeout),
		kv:         standin.NewState(),
		random:     rand.New(rand.NewPCG(options.seed, 7)),
		began:      time.Now(),
		policy:     options.policy,
	}
	totalCPUs := machineCPUs * float64(options.machines)
	d.fleet = config.Fleet{
		Zones: zones,
		// The other team has no work; its guarantee keeps all machines rented.
		Teams: []config.Team{
			{Name: "team", CPUs: options.quotaLimit, CPUsMax: options.quotaLimit},
			{Name: "other", CPUs: totalCPUs, CPUsMax: totalCPUs},
		},
		Workers: config.Workers{
			ReportS: options.heartbeatInterval.Seconds(),
			LeaseS:  workerLease.Seconds(),
			CancelS: options.cancelTimeout.Seconds(),
		},
		State:     config.State{RPS: 500, WriteRPS: 400, ValueKB: 8, TxnOps: 12},
		Cloud:     config.Cloud{RPS: 50, ListLagS: 1},
		Resources: config.Resources{CoreShare: 1, RAMMB: options.memoryMB, MaxConnections: 400},
	}
	cloud := standin.NewCloud(protocol.Catalog{Types: []protocol.MachineType{
		{
			Name:      "m",
			CPUs:      machineCPUs,
			MemoryGB:  64,
			CacheGB:   10,
			FetchRate: 1,
			Price:     1,
			SpotPrice: 0.5,
			BootS:     1,
			Zones:     zones,
		}}}, options.machines/len(zones))
	cloud.OnProvision, cloud.OnRelease = d.startMachine, d.stopMachine
	d.serve(cloudAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.read(&d.cloudDown) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		cloud.ServeHTTP(w, r)
	}))
	for i := range options.nodes {
		d.nodes = append(d.nodes, &simulatedNode{name: fmt.Sprintf("n-%d", i)})
		d.serve(d.nodes[i].name+kvPort, d.kvHandler(i))
	}
	return d
}

func (d *deployment) sleep(w time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(w):
	}
}

func (d *deployment) read(what *bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *what
}

func (d *deployment) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *deployment) serve(addr string, h http.Handler) {
	srv := &http.Server{Handler: h}
	l := d.network.Listen(addr)
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(d.ctx, func() { _ = srv.Close() })
}

// stateFor is the state service as one controller meets it.
func (d *deployment) kvHandler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		responseDelay := d.kvResponseDelay
		rejected, delay, listDelay := d.kvDown || d.nodes[node].kvRejects, d.kvDelay, d.kvListDelay
		delayed := r.URL.Path == protocol.PathCommit && d.random.Float64() < d.lateCommitShare
		commitDelay := 2*time.Second + time.Duration(d.random.Int64N(int64(10*time.Second)))
		d.mu.Unlock()
		switch {
		case rejected:
			w.WriteHeader(http.StatusServiceUnavailable)
		case delayed:
			body, _ := io.ReadAll(r.Body)
			var txn protocol.Txn
			if protocol.Decode(body, &txn) == nil {
				time.AfterFunc(commitDelay, func() { d.kv.Apply(txn) })
			}
			panic(http.ErrAbortHandler)
		default:
			if r.URL.Path == protocol.PathKeys {
				delay += listDelay
			}
			time.Sleep(5*time.Millisecond + delay)
			if responseDelay == nil {
				d.kv.ServeHTTP(w, r)
				return
			}
			d.serveKVDelayed(w, r, func(body []byte) <-chan time.Time { return responseDelay(node, r, body) })
		}
	})
}

// serveStateLate carries a request out at once and holds its answer back.
func (d *deployment) serveKVDelayed(w http.ResponseWriter, r *http.Request, delay func(body []byte) <-chan time.Time) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	response := httptest.NewRecorder()
	d.kv.ServeHTTP(response, r)
	if release := delay(body); release != nil {
		select {
		case <-release:
		case <-d.ctx.Done():
		}
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

// start starts a controller.
func (d *deployment) start(i int) {
	name := func(k int, port string) string { return d.nodes[k].name + port }
	settings := &config.Settings{
		Node:         d.nodes[i].name,
		Zone:         zones[i%len(zones)],
		ClientListen: name(i, standin.UsersPort),
		MeshListen:   name(i, meshPort),
		Services:     config.Services{Cloud: cloudAddress, State: name(i, kvPort)},
		Fleet:        d.fleet,
	}
	for k := range d.nodes {
		if k != i {
			settings.Others = append(settings.Others, config.Peer{
				Node:     d.nodes[k].name,
				Zone:     zones[k%len(zones)],
				Endpoint: name(k, meshPort),
			})
		}
	}
	nodeCtx, stop := context.WithCancel(d.ctx)
	stopped := make(chan struct{})
	d.nodes[i].stop, d.nodes[i].stopped = stop, stopped
	var log *slog.Logger
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", settings.Node)
	}
	var policy *config.Policy
	if d.policy != nil {
		policy = d.policy(i)
	}
	daemon := New(settings, Deps{
		Log:    log,
		Policy: policy,
		Random: rand.New(rand.NewPCG(d.random.Uint64(), 1)),
		Dial:   d.network.Dialer(d.nodes[i].name),
		Listen: func(_ context.Context, addr string) (net.Listener, error) { return d.network.Listen(addr), nil },
	})
	go func() {
		defer close(stopped)
		if err := daemon.Run(nodeCtx); err != nil {
			d.t.Errorf("%s: %v", settings.Node, err)
		}
	}()
}

func (d *deployment) stop(i int) {
	d.nodes[i].stop()
	<-d.nodes[i].stopped
}

// restart ends a controller; it is back after a while.
func (d *deployment) restart(i int, downtime time.Duration) {
	d.stop(i)
	d.sleep(downtime)
	d.start(i)
}

func (d *deployment) startMachine(m protocol.ListedMachine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, n := range d.nodes {
		names = append(names, n.name)
	}
	machine := standin.NewMachine(standin.MachineInfo{ID: m.ID, Zone: m.Zone}, m.Type, m.Spot, machineCPUs,
		standin.Timing{
			HeartbeatInterval: units.Seconds(d.fleet.Workers.ReportS).Duration(),
			LeaseDuration:     workerLease,
		}, names, d.network, d.invariants, rand.New(rand.NewPCG(d.random.Uint64(), 2)))
	d.machines = append(d.machines, machine)
	go machine.Run(d.ctx)
}

func (d *deployment) stopMachine(id string) {
	for _, m := range d.allMachines() {
		if m.ID == id {
			m.Kill()
			d.mu.Lock()
			d.machines = slices.DeleteFunc(d.machines, func(o *standin.Machine) bool { return o == m })
			d.mu.Unlock()
		}
	}
}

// all lists the machines there are.
func (d *deployment) allMachines() []*standin.Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.machines)
}

// busy lists the machines with tasks on them.
func (d *deployment) busyMachines() []*standin.Machine {
	return slices.DeleteFunc(d.allMachines(), func(m *standin.Machine) bool { return m.RunningTasks() == 0 })
}

// leader is the controller that names itself, by its metrics.
func (d *deployment) leader() int {
	for range 200 {
		for i := range d.nodes {
			if status, body := d.request(i, http.MethodGet, "/metrics", nil); status == http.StatusOK && bytes.Contains(body, []byte("dunestand_term")) {
				return i
			}
		}
		d.sleep(100 * time.Millisecond)
	}
	d.t.Fatal("nobody leads")
	return 0
}
