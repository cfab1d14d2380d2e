package coordination

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// guardTerm is a leader of a job that is stored and waits.
func guardTerm(t *testing.T, tasks int) (*Term, *manualClock) {
	t.Helper()
	clock := &manualClock{now: 100 * units.Second}
	term := testTerm(7, clock)
	term.install(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Tasks = tasks
	term.ledger.NewJob(spec, clock.now, clock.now)
	term.save()
	return term, clock
}

// save carries out all saves that are due.
func (t *Term) save() {
	for {
		s := t.ledger.BuildWriteBatch(t.saveID(), t.bucketVersions, cluster.BatchLimits{Background: true}, t.Clock.Steady())
		if s == nil {
			return
		}
		t.ledger.BatchCommitted(s, 1)
	}
}

// exchange is one report and its answer; saves that the answer needs are
// carried out first.
func (t *Term) exchange(r *protocol.Heartbeat) []protocol.Command {
	now := t.Clock.Steady()
	m := t.observe(r, now)
	if m == nil {
		return nil
	}
	t.lastRound = -units.Second
	t.round(now, m)
	t.save()
	return t.commands(m, r, now)
}

func testReport(machine string, session, seq, term uint64) *protocol.Heartbeat {
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

// testTerm makes a term whose lease holds until it is taken from it.
func testTerm(number uint64, clock units.Clock) *Term {
	settings := modelSettings()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	lease := NewFleetLease("n", nil, clock, TimingFor(modelLease), rand.New(rand.NewPCG(1, number)), log)
	lease.holding, lease.term, lease.validUntil = true, number, 1<<60
	return NewTerm(number, Deps{
		Settings:    settings,
		Policy:      config.DefaultPolicy(),
		Lease:       lease,
		Clock:       clock,
		Log:         log,
		Metrics:     NewMetrics(),
		Format:      NewFleetFormat("n", nil, storage.FormatNew, nil, log),
		Unreached:   func() int { return 0 },
		PeerInReach: func() bool { return false },
	})
}
