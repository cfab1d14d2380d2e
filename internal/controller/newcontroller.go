package controller

import (
	"log/slog"
	"math/rand/v2"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/cloud"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/push"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// clientConnectionLimit returns how many of a controller's connections users and workers may
// use; the others are reserved for the controller's own calls.
func clientConnectionLimit(maxConnections int) int {
	return max(maxConnections-push.ReservedConnections(maxConnections), maxConnections/2)
}

// noHeartbeatTime is the time of the last heartbeat while there has been none: a steady time in
// the distant past.
const noHeartbeatTime = -1 << 50

// Environment holds the dependencies that the calling program supplies to a controller.
type Environment struct {
	Policy *config.Policy
	Clock  units.Clock
	Random *rand.Rand
	Log    *slog.Logger
	Dial   transport.DialFunc // nil: the operating system's network
	// Admission overrides the policy's options for admission control under overload; nil: the
	// policy's options apply.
	Admission *admission.Options
}

// admissionOptions returns the options in Admission, or the policy's if it is nil.
func (e Environment) admissionOptions() admission.Options {
	if e.Admission != nil {
		return *e.Admission
	}
	return admissioncontrol.OptionsOf(e.Policy.Admission)
}

// New returns a controller with the given settings. It sends no request before Run is called.
func New(s *config.Settings, env Environment) *Controller {
	client := kv.NewClient(env.Dial, s.Services.KVStore, s.Fleet.KVLimits, len(s.Peers), env.Clock)
	format := newNegotiator(s, env, client)
	c := &Controller{
		deps:             newDeps(s, env, client, format),
		format:           format,
		elector:          newElector(s, env, client),
		heartbeatReader:  protocol.NewHeartbeatReader(),
		heartbeatLimiter: newHeartbeatLimiter(),
		peers:            peers.New(env.Dial, s.Peers, env.Clock, env.Random, env.Log),
		server: transport.NewServer(clientConnectionLimit(s.Fleet.Resources.MaxConnections),
			3*s.Fleet.Workers.HeartbeatInterval()+maxUserPollInterval, env.Log),
	}
	c.deps.UnreachablePeers, c.deps.PeerReachable = c.peers.UnreachableCount, c.peers.AnyReachable
	c.lastHeartbeatAt.Store(noHeartbeatTime)
	// Start as if the leader had just been reached: after a restart of all controllers, the
	// load balancer must consider them healthy again by the time one of them leads.
	c.leaderReachedAt.Store(int64(env.Clock.Steady()))
	c.elector.Connected = c.connected
	c.elector.Eligible = func() bool { return !c.deps.Format.TooNew() }
	c.addMetrics()
	c.routes()
	return c
}

// newElector returns the controller's elector. It has its own connections to the key-value
// store, so that lease renewals do not wait behind other requests.
func newElector(s *config.Settings, env Environment, client *kv.Client) *election.Elector {
	return election.NewElector(election.Deps{
		Name:   s.Name,
		KV:     client.WithOwnConnections(),
		Clock:  env.Clock,
		Timing: election.TimingFor(s.Fleet.Workers.LeaseDuration()),
		Random: env.Random,
		Log:    env.Log,
	})
}

// newNegotiator returns the negotiator of the record format that all controllers support.
func newNegotiator(s *config.Settings, env Environment, client *kv.Client) *recordformat.Negotiator {
	others := make([]string, len(s.Peers))
	for i, other := range s.Peers {
		others[i] = other.Name
	}
	supported := storage.FormatV2
	if options := env.admissionOptions(); options.Enabled() {
		supported = storage.FormatV3
	}
	return recordformat.NewNegotiator(s.Name, others, supported, client, env.Log)
}

// newDeps returns the dependencies that the controller passes to each Leader.
func newDeps(s *config.Settings, env Environment, client *kv.Client, format *recordformat.Negotiator) Deps {
	metrics := telemetry.NewMetrics()
	return Deps{
		Settings: s,
		Policy:   env.Policy,
		KV:       client,
		Dial:     env.Dial,
		Cloud:    cloud.NewClient(env.Dial, s.Services.Cloud, s.Fleet.Cloud),
		Clock:    env.Clock,
		Log:      env.Log,
		Metrics:  metrics,
		Format:   format,
		Admitter: admissioncontrol.NewAdmitter(admissioncontrol.AdmitterDeps{
			Settings: s,
			Options:  env.admissionOptions(),
			KV:       client,
			Format:   format,
			Clock:    env.Clock,
			Log:      env.Log,
			Metrics:  metrics,
		}),
	}
}

// connected reports whether this controller has recently received a heartbeat, reaches another
// controller, or has no peers.
func (c *Controller) connected() bool {
	sinceHeartbeat := c.deps.Clock.Steady() - units.Micros(c.lastHeartbeatAt.Load())
	return len(c.deps.Settings.Peers) == 0 || c.peers.AnyReachable() || sinceHeartbeat < peers.ReachabilityTimeout
}

// addMetrics registers the metrics of the controller itself and of its use of the key-value
// store.
func (c *Controller) addMetrics() {
	stats, limits := c.deps.KV.Stats, c.deps.Settings.Fleet.KVLimits
	gauges := []struct {
		name  string
		value func() float64
	}{
		{"dunestand_fleet_format", func() float64 { return float64(c.deps.Format.Current()) }},
		{"dunestand_lease_remaining_seconds", func() float64 { return c.elector.Remaining().Seconds() }},
		{"dunestand_state_requests_total", func() float64 { return float64(stats.Requests.Load()) }},
		{"dunestand_state_writes_total", func() float64 { return float64(stats.Writes.Load()) }},
		{"dunestand_state_refused_total", func() float64 { return float64(stats.Refused.Load()) }},
		{"dunestand_state_unanswered_total", func() float64 { return float64(stats.OutcomeUnknown.Load()) }},
		{"dunestand_state_write_limit", func() float64 { return limits.WriteRPS }},
		{"dunestand_state_request_limit", func() float64 { return limits.RPS }},
	}
	for _, g := range gauges {
		c.deps.Metrics.AddGauge(g.name, g.value)
	}
	c.deps.Metrics.AddRuntime()
}
