package coordination

import (
	"io"
	"log/slog"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// leaderWithJob is a leader of a job that is stored and waits.
func leaderWithJob(t *testing.T, tasks int) (*Leader, *manualClock) {
	t.Helper()
	clock := &manualClock{now: 100 * units.Second}
	term := testLeader(7, clock)
	term.persister.installRecords(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Tasks = tasks
	term.state.NewJob(spec, clock.now, clock.now)
	term.save()
	return term, clock
}

// save carries out all saves that are due.
func (l *Leader) save() {
	for {
		s := l.state.BuildWriteBatch(l.persister.nextWriteID(), l.persister.bucketVersions, cluster.BatchLimits{Background: true}, l.Clock.Steady())
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
	m := l.reconciler.reconcile(r, now)
	if m == nil {
		return nil
	}
	l.scheduler.lastCycle = -units.Second
	l.scheduler.runCycle(now, m)
	l.save()
	return l.reconciler.commands(m, r, now)
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

type manualClock struct{ now units.Micros }

func (c *manualClock) Steady() units.Micros { return c.now }

func (c *manualClock) Wall() units.Micros { return c.now }

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

// testLeadership is a lease that holds until it is taken from the leader.
type testLeadership struct {
	token     uint64
	lost      bool
	abstained units.Micros
}

func (l *testLeadership) Token() uint64 { return l.token }

func (l *testLeadership) Valid() bool { return !l.lost }

func (l *testLeadership) StepDown() { l.lost = true }

func (l *testLeadership) Abstain(d units.Micros) { l.lost, l.abstained = true, d }

func (l *testLeadership) HandOver(units.Micros) bool { return false }

// lease is the leader's leadership, for tests that take it away or look at it.
func (l *Leader) lease() *testLeadership { return l.leadership.(*testLeadership) }

// testLeader returns a leader whose lease holds until it is taken from it. The changes are
// made to what it works with before it is made.
func testLeader(token uint64, clock units.Clock, changes ...func(*Deps)) *Leader {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	deps := Deps{
		Settings:         modelSettings(),
		Policy:           config.DefaultPolicy(),
		Clock:            clock,
		Log:              log,
		Metrics:          NewMetrics(),
		Format:           NewFormatNegotiator("n", nil, storage.FormatNew, nil, log),
		UnreachablePeers: func() int { return 0 },
		PeerReachable:    func() bool { return false },
	}
	for _, change := range changes {
		change(&deps)
	}
	return NewLeader(&testLeadership{token: token}, deps)
}
