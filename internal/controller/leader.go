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

// Deps holds the dependencies of a Leader. They outlive it: each Leader of a controller gets
// the same ones.
type Deps struct {
	Settings *config.Settings
	Policy   *config.Policy
	KV       *kv.Client
	Cloud    *cloud.Client
	Clock    units.Clock
	Log      *slog.Logger
	Dial     transport.DialFunc // nil: the operating system's network
	Metrics  *telemetry.Metrics
	Format   recordformat.Source
	Admitter *admissioncontrol.Admitter // nil: all jobs are admitted
	// UnreachablePeers returns the number of other controllers that cannot be reached.
	UnreachablePeers func() int
	// PeerReachable reports whether any other controller answers.
	PeerReachable func() bool
}

// Leader runs one term of leadership, from a won election until the lease is lost. It composes
// the components that do the work; their in-memory state lasts for one term.
//
// The state lock guards all data on which the components base decisions. The caller must hold
// it for methods that say so, and for all methods of the components that take a time unless they
// say that they acquire it. Exported methods of Leader acquire it themselves and may be called
// concurrently.
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

	// Guarded by the state lock.
	lastSummary      units.Micros // steady time
	lastTimeoutCheck units.Micros // steady time
	laterTokenLogged bool         // countLaterToken has logged a heartbeat

	writeSignal loop.Signal // raised when there are changes to write
	cycleSignal loop.Signal // raised when a scheduling cycle is due
}

// NewLeader returns the Leader for an election that this controller has just won. It answers no
// request until Run has restored the records.
func NewLeader(leadership election.Leadership, deps Deps) *Leader {
	deps.Log = deps.Log.With("token", leadership.Token())
	l := &Leader{
		Deps:        deps,
		leadership:  leadership,
		token:       leadership.Token(),
		electedAt:   deps.Clock.Steady(),
		state:       cluster.NewState(deps.Settings.Fleet.Teams, deps.Settings.Fleet.KVLimits),
		writeSignal: loop.NewSignal(),
		cycleSignal: loop.NewSignal(),
	}
	tracer := cluster.NewAttemptTracer(deps.Log)
	// The order matters: each component uses those created before it.
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

// Run restores the records, retrying until it succeeds, and then leads until ctx ends. It
// returns after all of the leader's goroutines have returned.
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
		l.autoscaler.RunUrgentScaleIn,
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

// Ready reports whether the records have been restored.
func (l *Leader) Ready() bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Restored
}
