package coordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Deps is what a leader works with.
type Deps struct {
	Settings *config.Settings
	Policy   *config.Policy
	KV       *kv.Client
	Cloud    *cloud.Client
	Clock    units.Clock
	Log      *slog.Logger
	Dial     transport.DialFunc // nil: the machine's own network
	Metrics  *Metrics
	Format   *FormatNegotiator
	Admitter *admitter // nil: all jobs are admitted
	// UnreachablePeers counts the other controllers that cannot be reached.
	UnreachablePeers func() int
	// PeerReachable reports whether any other controller answers.
	PeerReachable func() bool
}

// Leader is one controller's time as leader, from an election to the loss of the lease. It
// composes the components that do the work; what they know is gone with it.
//
// The lock of state guards all that the components decide on. Methods that end in "locked"
// comments and all methods of the components that take a time need it held.
type Leader struct {
	Deps
	leadership Leadership
	token      uint64
	electedAt  units.Micros

	state       *cluster.State
	scheduler   *Scheduler
	detector    *Detector
	reconciler  *Reconciler
	pusher      *CommandPusher
	broadcaster *TokenBroadcaster
	autoscaler  *Autoscaler
	persister   *Persister
	ingester    *Ingester
	terminals   *TerminalJobs
	admission   *LeaderAdmission

	lastSummary      units.Micros // guarded by the lock of state
	lastTimeoutCheck units.Micros // likewise

	writeSignal chan struct{}
	cycleSignal chan struct{}
}

// NewLeader returns the leader of an election that was just won. Everything waits for Run to
// restore the records.
func NewLeader(leadership Leadership, deps Deps) *Leader {
	deps.Log = deps.Log.With("term", leadership.Token())
	l := &Leader{
		Deps:        deps,
		leadership:  leadership,
		token:       leadership.Token(),
		electedAt:   deps.Clock.Steady(),
		state:       cluster.NewState(deps.Settings.Fleet.Teams, deps.Settings.Fleet.State),
		writeSignal: make(chan struct{}, 1),
		cycleSignal: make(chan struct{}, 1),
	}
	tracer := cluster.NewAttemptTracer(deps.Log)
	l.terminals = newTerminalJobs(l.state, deps.KV)
	l.detector = newDetector(l)
	l.pusher = newCommandPusher(l)
	l.scheduler = newScheduler(l, tracer)
	l.reconciler = newReconciler(l, tracer)
	l.broadcaster = newTokenBroadcaster(l)
	l.autoscaler = newAutoscaler(l)
	l.ingester = newIngester(l)
	l.persister = newPersister(l, tracer)
	l.admission = newLeaderAdmission(l)
	l.persister.admission = l.admission
	if deps.Admitter != nil {
		l.state.OnRunObserved = func(j *cluster.Job, run units.Micros) {
			l.admission.corrections.Observe(j.Spec.Team, j.Spec.Estimate, run)
		}
	}
	return l
}

func raise(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits, and tells whether to go on.
func sleep(ctx context.Context, d units.Micros) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d.Duration()):
		return true
	}
}

// Run restores the records and then leads until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.Log.Info("term begins")
	for !l.persister.restore(ctx) {
		if !sleep(ctx, readRetryDelay) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){l.persister.writeLoop, l.cycleLoop, l.autoscaler.autoscaleLoop, l.detector.monitorDelay, l.broadcaster.broadcastLoop, l.ingester.ingestLoop, l.pusher.pushLoop, l.admission.publisher.loop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	l.Log.Info("term ends")
}

const kvTimeout = 1500 * units.Millisecond
