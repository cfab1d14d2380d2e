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
type day struct {
	t        *testing.T
	ctx      context.Context
	net      *standin.Network
	rules    *standin.RuleChecker
	state    *standin.State
	random   *rand.Rand
	settings config.Fleet
	began    time.Time

	mu        sync.Mutex
	nodes     []*dayController
	machines  []*standin.Machine
	stateDown bool
	stateSlow time.Duration
	listSlow  time.Duration // for lists of keys alone
	late      float64       // share of transactions that are carried out later, unanswered
	// answerDelay is for how long an answer of the state service, to a request that was
	// carried out, is held back; nil: not at all.
	answerDelay func(node int, r *http.Request, body []byte) <-chan time.Time
	cloudDown   bool
	users       int

	policy  func(node int) *config.Policy // nil: the built-in one everywhere
	checker *admissioncheck.Checker       // nil: nobody checks how jobs are admitted
}

// dayController is one node and what keeps it from the others.
type dayController struct {
	name    string
	stop    context.CancelFunc
	ended   chan struct{}
	refused bool // by the state service
}

const (
	portState = ":8001"
	portMesh  = ":8002"
	cloudAddr = "cloud:80"
	dayNodes  = 3
	dayCPUs   = 4.0 // of a machine
	dayReport = time.Second
	dayMemory = 100.0 // MB
	dayLease  = 10 * time.Second
	dayCancel = 11 * time.Second // little more than the workers' lease
)

var dayZones = []string{"a", "b"}

// plan is how a day differs from the usual one.
type plan struct {
	machines int     // in all, half of them in each zone
	limit    float64 // processors of the team
	cancel   time.Duration
	report   time.Duration
	memoryMB float64 // of a controller
	nodes    int     // controllers
	seed     uint64
	policy   func(node int) *config.Policy // nil: the built-in one everywhere
}

// play runs a day: the troubles, and then calm until no job may wait any more.
func play(t *testing.T, p plan, troubles func(d *day)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDay(t, ctx, p.withDefaults())
		for i := range d.nodes {
			d.start(i)
		}
		go func() {
			for ctx.Err() == nil {
				d.rules.Look()
				d.wait(100 * time.Millisecond)
			}
		}()
		d.wait(20 * time.Second) // machines are rented and report
		troubles(d)
		d.calm()
		d.wait(90 * time.Second)
		if open := d.rules.Open(); len(open) > 0 {
			t.Errorf("90 s after the troubles these jobs are not over: %v", open)
		}
		if d.rules.Starts() == 0 {
			t.Error("nothing ran")
		}
		for _, b := range d.rules.Broken() {
			t.Error(b)
		}
		cancel()
		for i := range d.nodes {
			d.end(i)
		}
		d.net.Close()
		time.Sleep(time.Minute) // whatever still waits for something ends
	})
}

// withDefaults fills in what a plan leaves open.
func (p plan) withDefaults() plan {
	if p.machines == 0 {
		p.machines = 6
	}
	if p.limit == 0 {
		p.limit = dayCPUs * float64(p.machines)
	}
	if p.cancel == 0 {
		p.cancel = dayCancel
	}
	if p.report == 0 {
		p.report = dayReport
	}
	if p.memoryMB == 0 {
		p.memoryMB = dayMemory
	}
	if p.nodes == 0 {
		p.nodes = dayNodes
	}
	return p
}

// newDay makes a day's network, state service and cloud; no controller runs yet.
func newDay(t *testing.T, ctx context.Context, p plan) *day {
	d := &day{
		t:      t,
		ctx:    ctx,
		net:    standin.NewNetwork(),
		rules:  standin.NewRuleChecker(p.limit, p.cancel),
		state:  standin.NewState(),
		random: rand.New(rand.NewPCG(p.seed, 7)),
		began:  time.Now(),
		policy: p.policy,
	}
	all := dayCPUs * float64(p.machines)
	d.settings = config.Fleet{
		Zones: dayZones,
		// The other team has no work; its guarantee keeps all machines rented.
		Teams: []config.Team{
			{Name: "team", CPUs: p.limit, CPUsMax: p.limit},
			{Name: "other", CPUs: all, CPUsMax: all},
		},
		Workers: config.Workers{
			ReportS: p.report.Seconds(),
			LeaseS:  dayLease.Seconds(),
			CancelS: p.cancel.Seconds(),
		},
		State:     config.State{RPS: 500, WriteRPS: 400, ValueKB: 8, TxnOps: 12},
		Cloud:     config.Cloud{RPS: 50, ListLagS: 1},
		Resources: config.Resources{CoreShare: 1, RAMMB: p.memoryMB, MaxConnections: 400},
	}
	cloud := standin.NewCloud(protocol.Catalog{Types: []protocol.InstanceType{
		{
			Name:      "m",
			CPUs:      dayCPUs,
			MemoryGB:  64,
			CacheGB:   10,
			FetchRate: 1,
			Price:     1,
			SpotPrice: 0.5,
			BootS:     1,
			Zones:     dayZones,
		}}}, p.machines/len(dayZones))
	cloud.Rented, cloud.Released = d.rented, d.released
	d.serve(cloudAddr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.is(&d.cloudDown) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		cloud.ServeHTTP(w, r)
	}))
	for i := range p.nodes {
		d.nodes = append(d.nodes, &dayController{name: fmt.Sprintf("n-%d", i)})
		d.serve(d.nodes[i].name+portState, d.stateFor(i))
	}
	return d
}

func (d *day) wait(w time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(w):
	}
}

func (d *day) is(what *bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *what
}

func (d *day) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *day) serve(addr string, h http.Handler) {
	srv := &http.Server{Handler: h}
	l := d.net.Listen(addr)
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(d.ctx, func() { _ = srv.Close() })
}

// stateFor is the state service as one controller meets it.
func (d *day) stateFor(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		answerDelay := d.answerDelay
		refused, slow, lists := d.stateDown || d.nodes[node].refused, d.stateSlow, d.listSlow
		late := r.URL.Path == protocol.PathCommit && d.random.Float64() < d.late
		after := 2*time.Second + time.Duration(d.random.Int64N(int64(10*time.Second)))
		d.mu.Unlock()
		switch {
		case refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		case late:
			body, _ := io.ReadAll(r.Body)
			var txn protocol.Txn
			if protocol.Decode(body, &txn) == nil {
				time.AfterFunc(after, func() { d.state.Apply(txn) })
			}
			panic(http.ErrAbortHandler)
		default:
			if r.URL.Path == protocol.PathKeys {
				slow += lists
			}
			time.Sleep(5*time.Millisecond + slow)
			if answerDelay == nil {
				d.state.ServeHTTP(w, r)
				return
			}
			d.serveStateLate(w, r, func(body []byte) <-chan time.Time { return answerDelay(node, r, body) })
		}
	})
}

// serveStateLate carries a request out at once and holds its answer back.
func (d *day) serveStateLate(w http.ResponseWriter, r *http.Request, delay func(body []byte) <-chan time.Time) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	d.state.ServeHTTP(answer, r)
	if held := delay(body); held != nil {
		select {
		case <-held:
		case <-d.ctx.Done():
		}
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// start starts a controller.
func (d *day) start(i int) {
	name := func(k int, port string) string { return d.nodes[k].name + port }
	s := &config.Settings{
		Node:         d.nodes[i].name,
		Zone:         dayZones[i%len(dayZones)],
		ClientListen: name(i, standin.UsersPort),
		MeshListen:   name(i, portMesh),
		Services:     config.Services{Cloud: cloudAddr, State: name(i, portState)},
		Fleet:        d.settings,
	}
	for k := range d.nodes {
		if k != i {
			s.Others = append(s.Others, config.Peer{
				Node:     d.nodes[k].name,
				Zone:     dayZones[k%len(dayZones)],
				Endpoint: name(k, portMesh),
			})
		}
	}
	ctx, stop := context.WithCancel(d.ctx)
	done := make(chan struct{})
	d.nodes[i].stop, d.nodes[i].ended = stop, done
	var log *slog.Logger
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", s.Node)
	}
	var policy *config.Policy
	if d.policy != nil {
		policy = d.policy(i)
	}
	n := New(s, Deps{
		Log:    log,
		Policy: policy,
		Random: rand.New(rand.NewPCG(d.random.Uint64(), 1)),
		Dial:   d.net.Dialer(d.nodes[i].name),
		Listen: func(_ context.Context, addr string) (net.Listener, error) { return d.net.Listen(addr), nil },
	})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			d.t.Errorf("%s: %v", s.Node, err)
		}
	}()
}

func (d *day) end(i int) {
	d.nodes[i].stop()
	<-d.nodes[i].ended
}

// restart ends a controller; it is back after a while.
func (d *day) restart(i int, after time.Duration) {
	d.end(i)
	d.wait(after)
	d.start(i)
}

func (d *day) rented(m protocol.ListedMachine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, n := range d.nodes {
		names = append(names, n.name)
	}
	machine := standin.NewMachine(standin.MachineInfo{ID: m.ID, Zone: m.Zone}, m.InstanceType, m.Spot, dayCPUs,
		standin.Pace{
			Report: units.Seconds(d.settings.Workers.ReportS).Duration(),
			Lease:  dayLease,
		}, names, d.net, d.rules, rand.New(rand.NewPCG(d.random.Uint64(), 2)))
	d.machines = append(d.machines, machine)
	go machine.Run(d.ctx)
}

func (d *day) released(id string) {
	for _, m := range d.all() {
		if m.ID == id {
			m.Kill()
			d.mu.Lock()
			d.machines = slices.DeleteFunc(d.machines, func(o *standin.Machine) bool { return o == m })
			d.mu.Unlock()
		}
	}
}

// all lists the machines there are.
func (d *day) all() []*standin.Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.machines)
}

// busy lists the machines with tasks on them.
func (d *day) busy() []*standin.Machine {
	return slices.DeleteFunc(d.all(), func(m *standin.Machine) bool { return m.Holds() == 0 })
}

// leader is the controller that names itself, by its metrics.
func (d *day) leader() int {
	for range 200 {
		for i := range d.nodes {
			if status, body := d.ask(i, http.MethodGet, "/metrics", nil); status == http.StatusOK && bytes.Contains(body, []byte("dunestand_term")) {
				return i
			}
		}
		d.wait(100 * time.Millisecond)
	}
	d.t.Fatal("nobody leads")
	return 0
}
