package coordination

import (
	"context"
	"log/slog"
	"sync"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
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

	writeSignal loop.Signal
	cycleSignal loop.Signal
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
		writeSignal: loop.NewSignal(),
		cycleSignal: loop.NewSignal(),
	}
	tracer := cluster.NewAttemptTracer(deps.Log)
	l.terminals = newTerminalJobs(l.state, deps.KV)
	l.detector = newDetector(DetectorDeps{
		State:            l.state,
		Leadership:       l.leadership,
		Settings:         l.Settings,
		Clock:            l.Clock,
		Log:              l.Log,
		ElectedAt:        l.electedAt,
		UnreachablePeers: l.UnreachablePeers,
		PeerReachable:    l.PeerReachable,
		WriteSignal:      l.writeSignal,
	})
	l.pusher = newCommandPusher(CommandPusherDeps{
		State:      l.state,
		Leadership: l.leadership,
		Settings:   l.Settings,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
	l.scheduler = newScheduler(SchedulerDeps{
		State:       l.state,
		Detector:    l.detector,
		Pusher:      l.pusher,
		Settings:    l.Settings,
		Policy:      l.Policy,
		Clock:       l.Clock,
		Log:         l.Log,
		Metrics:     l.Metrics,
		Tracer:      tracer,
		Token:       l.token,
		WriteSignal: l.writeSignal,
	})
	l.reconciler = newReconciler(ReconcilerDeps{
		State:       l.state,
		Detector:    l.detector,
		Log:         l.Log,
		Tracer:      tracer,
		Token:       l.token,
		WriteSignal: l.writeSignal,
		CycleSignal: l.cycleSignal,
	})
	l.broadcaster = newTokenBroadcaster(TokenBroadcasterDeps{
		State:      l.state,
		Leadership: l.leadership,
		Reconciler: l.reconciler,
		Settings:   l.Settings,
		Clock:      l.Clock,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
	l.autoscaler = newAutoscaler(AutoscalerDeps{
		State:       l.state,
		Leadership:  l.leadership,
		Detector:    l.detector,
		Scheduler:   l.scheduler,
		Settings:    l.Settings,
		Policy:      l.Policy,
		Cloud:       l.Cloud,
		KV:          l.KV,
		Format:      l.Format,
		Clock:       l.Clock,
		Log:         l.Log,
		Token:       l.token,
		ElectedAt:   l.electedAt,
		CycleSignal: l.cycleSignal,
	})
	l.ingester = newIngester(IngesterDeps{
		State:       l.state,
		Leadership:  l.leadership,
		Terminals:   l.terminals,
		Settings:    l.Settings,
		KV:          l.KV,
		Clock:       l.Clock,
		Log:         l.Log,
		WriteSignal: l.writeSignal,
	})
	l.persister = newPersister(PersisterDeps{
		State:       l.state,
		Leadership:  l.leadership,
		OnCatalog:   l.autoscaler.CatalogRestored,
		Ingester:    l.ingester,
		Terminals:   l.terminals,
		Settings:    l.Settings,
		KV:          l.KV,
		Format:      l.Format,
		Clock:       l.Clock,
		Log:         l.Log,
		Tracer:      tracer,
		Token:       l.token,
		ElectedAt:   l.electedAt,
		WriteSignal: l.writeSignal,
		CycleSignal: l.cycleSignal,
	})
	l.admission = newLeaderAdmission(LeaderAdmissionDeps{
		State:       l.state,
		Admitter:    l.Admitter,
		Leadership:  l.leadership,
		Persister:   l.persister,
		Ingester:    l.ingester,
		Settings:    l.Settings,
		KV:          l.KV,
		Clock:       l.Clock,
		Log:         l.Log,
		Metrics:     l.Metrics,
		WriteSignal: l.writeSignal,
	})
	l.persister.Admission = l.admission
	if deps.Admitter != nil {
		l.state.OnRunObserved = l.admission.ObserveRun
	}
	return l
}

// Run restores the records and then leads until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.Log.Info("term begins")
	for !l.persister.restore(ctx) {
		if !loop.Sleep(ctx, readRetryDelay) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){l.persister.writeLoop, l.cycleLoop, l.autoscaler.autoscaleLoop, l.detector.monitorDelay, l.broadcaster.broadcastLoop, l.ingester.ingestLoop, l.pusher.pushLoop, l.admission.Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
	l.Log.Info("term ends")
}
