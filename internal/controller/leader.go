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

// Deps is what a Leader works with. It outlives each Leader.
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
	// UnreachablePeers returns the number of other controllers that cannot be reached.
	UnreachablePeers func() int
	// PeerReachable reports whether any other controller answers.
	PeerReachable func() bool
}

// Leader is one controller's time as leader, from an election to the loss of the lease. It
// composes the components that do the work; their state is gone with it.
//
// The lock of state guards everything that the components decide on. It must be held for the
// methods that say so, and for all methods of the components that take a time. Exported
// methods of Leader take it themselves and may be called concurrently.
type Leader struct {
	Deps
	leadership election.Leadership
	token      uint64       // fencing token
	electedAt  units.Micros // steady time

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

	lastSummary      units.Micros // steady time; guarded by the lock of state
	lastTimeoutCheck units.Micros // likewise
	laterTokenLogged bool         // likewise

	writeSignal loop.Signal // raised when something waits to be written
	cycleSignal loop.Signal // raised when a scheduling cycle is due
}

// NewLeader returns the leader of an election that was just won. It answers nobody until Run
// has restored the records.
func NewLeader(leadership election.Leadership, deps Deps) *Leader {
	deps.Log = deps.Log.With("token", leadership.Token())
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
	// In this order: each component is given those that were made before it.
	l.terminals = persister.NewTerminalJobs(l.state, deps.KV)
	l.detector = newDetector(l)
	l.pusher = newPusher(l)
	l.scheduler = newScheduler(l, tracer)
	l.reconciler = newReconciler(l, tracer)
	l.broadcaster = newBroadcaster(l)
	l.autoscaler = newAutoscaler(l)
	l.ingester = newIngester(l)
	l.persister = newPersister(l, tracer)
	l.admission = newAdmission(l)
	l.persister.Admission = l.admission
	if deps.Admitter != nil {
		l.state.Outcomes.OnRunObserved = l.admission.ObserveRun
	}
	return l
}

// Run restores the records and then leads until ctx ends. It returns once all of the leader's
// goroutines have returned.
func (l *Leader) Run(ctx context.Context) {
	l.Log.Info("leadership begins")
	for !l.persister.Restore(ctx) {
		if !loop.Sleep(ctx, persister.ReadRetryDelay) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		l.persister.Run,
		l.cycleLoop,
		l.autoscaler.Run,
		l.detector.MonitorDelay,
		l.broadcaster.Run,
		l.ingester.Run,
		l.pusher.Run,
		l.admission.Run,
	} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
	l.Log.Info("leadership ends")
}

// Ready reports whether the records are restored.
func (l *Leader) Ready() bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Restored
}
