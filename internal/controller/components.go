package controller

import (
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/autoscaler"
	"dunestand/internal/cluster"
	"dunestand/internal/failuredetector"
	"dunestand/internal/persister"
	"dunestand/internal/push"
	"dunestand/internal/reconciler"
	"dunestand/internal/scheduler"
)

// The functions of this file create the leader's components, each with the dependencies that it
// needs. NewLeader calls them in order, and each component may use those created before it. The
// persister is the exception: it also needs the admission control, which itself needs the
// persister, so NewLeader sets that field afterwards.

func newDetector(l *Leader) *failuredetector.Detector {
	return failuredetector.New(failuredetector.Deps{
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
}

func newPusher(l *Leader) *push.CommandPusher {
	return push.NewCommandPusher(push.CommandPusherDeps{
		State:      l.state,
		Leadership: l.leadership,
		Settings:   l.Settings,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
}

func newScheduler(l *Leader, tracer cluster.AttemptTracer) *scheduler.Scheduler {
	return scheduler.New(scheduler.Deps{
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
}

func newReconciler(l *Leader, tracer cluster.AttemptTracer) *reconciler.Reconciler {
	return reconciler.New(reconciler.Deps{
		State:       l.state,
		Detector:    l.detector,
		Log:         l.Log,
		Tracer:      tracer,
		Metrics:     l.Metrics.Reconciliation,
		Token:       l.token,
		WriteSignal: l.writeSignal,
		CycleSignal: l.cycleSignal,
	})
}

func newBroadcaster(l *Leader) *push.TokenBroadcaster {
	return push.NewTokenBroadcaster(push.TokenBroadcasterDeps{
		State:      l.state,
		Leadership: l.leadership,
		Reconciler: l.reconciler,
		Settings:   l.Settings,
		Clock:      l.Clock,
		Log:        l.Log,
		Dial:       l.Dial,
		Token:      l.token,
	})
}

func newAutoscaler(l *Leader) *autoscaler.Autoscaler {
	return autoscaler.New(autoscaler.Deps{
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
}

func newIngester(l *Leader) *persister.Ingester {
	return persister.NewIngester(persister.IngesterDeps{
		State:       l.state,
		Leadership:  l.leadership,
		Terminals:   l.terminals,
		Settings:    l.Settings,
		KV:          l.KV,
		Clock:       l.Clock,
		Log:         l.Log,
		WriteSignal: l.writeSignal,
	})
}

func newPersister(l *Leader, tracer cluster.AttemptTracer) *persister.Persister {
	return persister.New(persister.Deps{
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
}

func newAdmission(l *Leader) *admissioncontrol.LeaderAdmission {
	return admissioncontrol.NewLeaderAdmission(admissioncontrol.LeaderAdmissionDeps{
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
}
