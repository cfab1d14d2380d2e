package controller

import (
	"context"
	"log/slog"
	"sync"

	"dunestand/internal/admissioncontrol"
	"dunestand/internal/autoscaler"
	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/failuredetector"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/persister"
	"dunestand/internal/push"
	"dunestand/internal/reconciler"
	"dunestand/internal/recordformat"
	"dunestand/internal/scheduler"
	"dunestand/internal/telemetry"
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
	Metrics  *telemetry.Metrics
	Format   recordformat.Source
	Admitter *admissioncontrol.Admitter // nil: all jobs are admitted
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
	leadership election.Leadership
	token      uint64
	electedAt  units.Micros

	state       *cluster.State
	scheduler   *scheduler.Scheduler
	detector    *failuredetector.Detector
	reconciler  *reconciler.Reconciler
	pusher      *push.CommandPusher
	broadcaster *push.TokenBroadcaster
	autoscaler  *autoscaler.Autoscaler
	persister   *persister.Persister
	ingester    *persister.Ingester
	terminals   *persister.TerminalJobs
	admission   *admissioncontrol.LeaderAdmission

	lastSummary      units.Micros // guarded by the lock of state
	lastTimeoutCheck units.Micros // likewise

	writeSignal loop.Signal
	cycleSignal loop.Signal
}

// NewLeader returns the leader of an election that was just won. Everything waits for Run to
// restore the records.
func NewLeader(leadership election.Leadership, deps Deps) *Leader {
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
	l.terminals = persister.NewTerminalJobs(l.state, deps.KV)
	l.detector = failuredetector.New(failuredetector.Deps{
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
	l.pusher = push.NewCommandPusher(push.CommandPusherDeps{
		State:      l.state,
		Leadership: l.leadership,
		Settings:   l.Settings,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
	l.scheduler = scheduler.New(scheduler.Deps{
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
	l.reconciler = reconciler.New(reconciler.Deps{
		State:       l.state,
		Detector:    l.detector,
		Log:         l.Log,
		Tracer:      tracer,
		Token:       l.token,
		WriteSignal: l.writeSignal,
		CycleSignal: l.cycleSignal,
	})
	l.broadcaster = push.NewTokenBroadcaster(push.TokenBroadcasterDeps{
		State:      l.state,
		Leadership: l.leadership,
		Reconciler: l.reconciler,
		Settings:   l.Settings,
		Clock:      l.Clock,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
	l.autoscaler = autoscaler.New(autoscaler.Deps{
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
	l.ingester = persister.NewIngester(persister.IngesterDeps{
		State:       l.state,
		Leadership:  l.leadership,
		Terminals:   l.terminals,
		Settings:    l.Settings,
		KV:          l.KV,
		Clock:       l.Clock,
		Log:         l.Log,
		WriteSignal: l.writeSignal,
	})
	l.persister = persister.New(persister.Deps{
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
	l.admission = admissioncontrol.NewLeaderAdmission(admissioncontrol.LeaderAdmissionDeps{
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
		l.state.Outcomes.OnRunObserved = l.admission.ObserveRun
	}
	return l
}

// Run restores the records and then leads until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.Log.Info("term begins")
	for !l.persister.Restore(ctx) {
		if !loop.Sleep(ctx, persister.ReadRetryDelay) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){l.persister.Run, l.cycleLoop, l.autoscaler.Run, l.detector.MonitorDelay, l.broadcaster.Run, l.ingester.Run, l.pusher.Run, l.admission.Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
	l.Log.Info("term ends")
}
