package controller

import (
	"io"
	"log/slog"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// leaderWithJob is a leader of a job that is stored and waits.
func leaderWithJob(t *testing.T, tasks int) (*Leader, *standin.Clock) {
	t.Helper()
	clock := &standin.Clock{Now: 100 * units.Second}
	term := newTestLeader(7, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Tasks = tasks
	term.state.NewJob(spec, clock.Now, clock.Now)
	term.save()
	return term, clock
}

// save carries out all saves that are due.
func (l *Leader) save() {
	for {
		s := l.state.BuildWriteBatch(l.persister.NextWriteID(), l.persister.BucketVersions(), cluster.BatchLimits{Background: true}, l.Clock.Steady())
		if s == nil {
			return
		}
		l.state.BatchCommitted(s, 1)
	}
}

// exchange is one report and its answer; saves that the answer needs are
// carried out first.
func (l *Leader) exchange(r *protocol.Heartbeat) []protocol.Command {
	now := l.Clock.Steady()
	m := l.reconciler.Reconcile(r, now)
	if m == nil {
		return nil
	}
	l.scheduler.RunCycle(now, m)
	l.save()
	return l.reconciler.Commands(m, r, now)
}

func testHeartbeat(machine string, session, seq, term uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      machine,
		InstanceType: "m",
		Zone:         "a",
		Spot:         true,
		Incarnation:  session,
		Sequence:     seq,
		FencingToken: term,
	}
}

// This file plays random days against the leader's core: workers as the
// protocol describes them, a state service, leaders that die at any point,
// answers that are lost or late. Controllers of the version before are upgraded
// one by one meanwhile, and the state service lowers its limits once all are.
// After every step it checks on the workers themselves, not on the leader's
// books, what must never happen.

const (
	modelLease   = 10 * units.Second
	modelCancel  = 11 * units.Second
	workerWaits  = 4 * units.Second
	modelLimit   = 9 // processors of the team
	modelMachine = 4 // processors of a machine
)

func modelSettings() *config.Settings {
	return &config.Settings{Node: "n", Fleet: config.Fleet{Zones: []string{"a"},
		Teams:   []config.Team{{Name: "team", CPUs: 4, CPUsMax: modelLimit}},
		Workers: config.Workers{ReportS: 1, LeaseS: modelLease.Seconds(), CancelS: modelCancel.Seconds()},
		State: config.State{
			RPS:      100,
			WriteRPS: 50,
			ValueKB:  8,
			TxnOps:   12,
			Next:     &config.State{ValueKB: 1, TxnOps: 3},
		},
		Resources: config.Resources{CoreShare: 1, RAMMB: 100, MaxConnections: 100}}}
}

var modelCatalog = protocol.Catalog{Types: []protocol.InstanceType{
	{
		Name:      "m",
		CPUs:      modelMachine,
		MemoryGB:  64,
		CacheGB:   10,
		Price:     1,
		SpotPrice: 1,
		BootS:     5,
		Zones:     []string{"a"},
	}}}

// setFormat sets the fleet's format as the leader knows it.
func (l *Leader) setFormat(level storage.Format) {
	l.Format.(*standin.RecordFormat).Level.Store(int64(level))
}

// lease is the leader's leadership, for tests that take it away or look at it.
func (l *Leader) lease() *standin.Leadership { return l.leadership.(*standin.Leadership) }

// newTestLeader returns a leader whose lease holds until it is taken from it. The changes are
// made to what it works with before it is made.
func newTestLeader(token uint64, clock units.Clock, changes ...func(*Deps)) *Leader {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	deps := Deps{
		Settings:         modelSettings(),
		Policy:           config.DefaultPolicy(),
		Clock:            clock,
		Log:              log,
		Metrics:          telemetry.NewMetrics(),
		Format:           standin.NewRecordFormat(storage.FormatOld),
		UnreachablePeers: func() int { return 0 },
		PeerReachable:    func() bool { return false },
	}
	for _, change := range changes {
		change(&deps)
	}
	return NewLeader(&standin.Leadership{Number: token}, deps)
}
