package coordination

import (
	"log/slog"
	"math/rand/v2"

	"dunestand/internal/admission"
	"dunestand/internal/cloud"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// usersSockets are for users and workers.
func usersSockets(maxConnections int) int {
	return max(maxConnections-socketsKept(maxConnections), maxConnections/2)
}

// Environment is what a node gets from the program around it.
type Environment struct {
	Policy *config.Policy
	Clock  units.Clock
	Random *rand.Rand
	Log    *slog.Logger
	Dial   transport.DialFunc // nil: the machine's own network
	// Admission says how new jobs are admitted under overload; nil: as the policy does.
	Admission *admission.Options
}

// admissionOptions gives what holds of the environment's own choice and the policy's.
func (e Environment) admissionOptions() admission.Options {
	if e.Admission != nil {
		return *e.Admission
	}
	return admissionOptions(e.Policy.Admission)
}

// NewController makes a node from its settings.
func NewController(s *config.Settings, env Environment) *Controller {
	c := &Controller{
		deps:    newDeps(s, env),
		reader:  protocol.NewHeartbeatReader(),
		reports: newReportLimiter(),
		peers:   NewPeers(env.Dial, s.Others, env.Clock, env.Random, env.Log),
		server: transport.NewServer(usersSockets(s.Fleet.Resources.MaxConnections),
			3*s.Fleet.Workers.Report()+usersPause, env.Log),
	}
	c.deps.Unreached, c.deps.PeerInReach = c.peers.Unreached, c.peers.ReachesAny
	c.lastWorker.Store(-1 << 50)
	// A node begins as if it had just been of use: when all were restarted, the
	// load balancer is to know them again by the time one of them leads.
	c.lastUseful.Store(int64(env.Clock.Steady()))
	c.deps.Lease.Connected = c.connected
	c.deps.Lease.Able = func() bool { return !c.deps.Format.Newer() }
	c.deps.addMetrics()
	c.routes()
	return c
}

// newDeps makes what a node's terms work with.
func newDeps(s *config.Settings, env Environment) Deps {
	others := make([]string, len(s.Others))
	for i, o := range s.Others {
		others[i] = o.Node
	}
	options := env.admissionOptions()
	reads := storage.FormatNew
	if options.On() {
		reads = storage.FormatAdmission
	}
	store := kv.NewClient(env.Dial, s.Services.State, s.Fleet.State, len(others), env.Clock)
	format := NewFleetFormat(s.Node, others, reads, store, env.Log)
	metrics := NewMetrics()
	return Deps{
		Settings: s,
		Policy:   env.Policy,
		Store:    store,
		Dial:     env.Dial,
		Cloud:    cloud.NewClient(env.Dial, s.Services.Cloud, s.Fleet.Cloud),
		Lease:    NewFleetLease(s.Node, store.WithOwnConnections(), env.Clock, TimingFor(s.Fleet.Workers.Lease()), env.Random, env.Log),
		Clock:    env.Clock,
		Log:      env.Log,
		Metrics:  metrics,
		Format:   format,
		Admitter: newAdmitter(s, options, store, format, env.Clock, env.Log, metrics),
	}
}

// connected tells whether this node hears workers or other controllers, or is alone.
func (c *Controller) connected() bool {
	sinceWorker := c.deps.Clock.Steady() - units.Micros(c.lastWorker.Load())
	return len(c.deps.Settings.Others) == 0 || c.peers.ReachesAny() || sinceWorker < linkFresh
}

// addMetrics shows the node's own state and its use of the state service.
func (d *Deps) addMetrics() {
	stats, limits := d.Store.Stats, d.Settings.Fleet.State
	gauges := []struct {
		name  string
		value func() float64
	}{
		{"dunestand_fleet_format", func() float64 { return float64(d.Format.Level()) }},
		{"dunestand_lease_remaining_seconds", func() float64 { return d.Lease.Remaining().Seconds() }},
		{"dunestand_state_requests_total", func() float64 { return float64(stats.Requests.Load()) }},
		{"dunestand_state_writes_total", func() float64 { return float64(stats.Writes.Load()) }},
		{"dunestand_state_refused_total", func() float64 { return float64(stats.Refused.Load()) }},
		{"dunestand_state_unanswered_total", func() float64 { return float64(stats.OutcomeUnknown.Load()) }},
		{"dunestand_state_write_limit", func() float64 { return limits.WriteRPS }},
		{"dunestand_state_request_limit", func() float64 { return limits.RPS }},
	}
	for _, g := range gauges {
		d.Metrics.Gauge(g.name, g.value)
	}
	d.Metrics.addRuntime()
}
