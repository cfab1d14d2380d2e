package controller

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// newLeaderWithJob is a leader of a job that is stored and waits.
func newLeaderWithJob(t *testing.T, tasks int) (*Leader, *standin.Clock) {
	t.Helper()
	clock := &standin.Clock{Now: 100 * units.Second}
	leader := newTestLeader(7, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Tasks = tasks
	leader.state.NewJob(spec, clock.Now, clock.Now)
	leader.commitWrites()
	return leader, clock
}

// commitWrites carries out all saves that are due.
func (l *Leader) commitWrites() {
	for {
		batch := l.state.BuildWriteBatch(l.persister.NextWriteID(), l.persister.BucketVersions(), cluster.BatchLimits{Background: true}, l.Clock.Steady())
		if batch == nil {
			return
		}
		l.state.BatchCommitted(batch, 1)
	}
}

// exchange is one report and its answer; saves that the answer needs are
// carried out first.
func (l *Leader) exchange(heartbeat *protocol.Heartbeat) []protocol.Command {
	now := l.Clock.Steady()
	machine := l.reconciler.Reconcile(heartbeat, now)
	if machine == nil {
		return nil
	}
	l.scheduler.RunCycle(now, machine)
	l.commitWrites()
	return l.reconciler.Commands(machine, heartbeat, now)
}

func testHeartbeat(machine string, incarnation, sequence, token uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      machine,
		InstanceType: "m",
		Zone:         "a",
		Spot:         true,
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: token,
	}
}

// modelSettings returns the settings of a fleet of one team and one zone.
func modelSettings() *config.Settings {
	return &config.Settings{Node: "n", Fleet: config.Fleet{Zones: []string{"a"},
		Teams:   []config.Team{{Name: "team", CPUs: 4, CPUsMax: modelQuotaCPUs}},
		Workers: config.Workers{ReportS: 1, LeaseS: modelLease.Seconds(), CancelS: modelCancelGrace.Seconds()},
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
		CPUs:      modelMachineCPUs,
		MemoryGB:  64,
		CacheGB:   10,
		Price:     1,
		SpotPrice: 1,
		BootS:     5,
		Zones:     []string{"a"},
	}}}

// setFormat sets the fleet's format as the leader knows it.
func (l *Leader) setFormat(level int) { l.Format.(*standin.RecordFormat).Level.Store(int64(level)) }

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

func newStoredLeader(t *testing.T, token uint64, state *standin.State, changes ...func(*Deps)) *Leader {
	t.Helper()
	server := httptest.NewServer(state)
	t.Cleanup(server.Close)
	clock := &standin.Clock{Now: units.Second}
	client := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
		RPS:      1e4,
		WriteRPS: 1e4,
	}, 0, clock)
	return newTestLeader(token, clock, append([]func(*Deps){func(d *Deps) {
		d.KV = client
		d.Format = recordformat.NewNegotiator("n", nil, storage.FormatNew, client, d.Log)
	}}, changes...)...)
}

func (l *Leader) records() recordReader {
	return recordReader{store: l.KV, clock: l.Clock, workers: l.Settings.Fleet.Workers}
}

func modelSpec(id string) *protocol.JobSpec {
	return &protocol.JobSpec{
		ID:        id,
		Class:     "c",
		Team:      "team",
		Tasks:     2,
		Request:   standin.CPUs(1),
		AllowSpot: true,
		Image:     "i",
	}
}

func decodeState(t *testing.T, r answer.Answer) protocol.JobState {
	t.Helper()
	var store protocol.JobState
	if err := protocol.Decode(r.Body, &store); err != nil {
		t.Fatal(err)
	}
	return store
}

// commitNext carries the next save through.
func (l *Leader) commitNext(test *testing.T) {
	test.Helper()
	if store := l.nextBatch(); store != nil {
		l.persister.CommitBatch(test.Context(), store)
	}
}

func (l *Leader) nextBatch() *cluster.WriteBatch {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.BuildWriteBatch(l.persister.NextWriteID(), l.persister.BucketVersions(), cluster.BatchLimits{Background: true}, l.Clock.Steady())
}

// writeAllRecords saves every job and gives the records.
func writeAllRecords(leader *Leader) []protocol.Item {
	var rows []protocol.Item
	for _, j := range leader.state.Jobs {
		j.MarkChanged(units.Second, true)
	}
	for {
		s := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, units.Second)
		if s == nil {
			return rows
		}
		for _, c := range s.Txn.Then {
			rows = append(rows, protocol.Item{Key: c.Set, Value: c.Value, Version: 1})
		}
		leader.state.BatchCommitted(s, 1)
	}
}
