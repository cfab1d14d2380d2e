package controller

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// This file creates leaders for tests and runs single steps of them. The other files
// harness_*_test.go hold what only some of the tests need.

// testJob is the ID of the job in tests with a single job.
const testJob = "j-000001"

// modelSettings returns the settings of a fleet with one team and one zone.
func modelSettings() *config.Settings {
	return &config.Settings{Name: "n", Fleet: config.Fleet{Zones: []string{"a"},
		Teams:   []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: modelQuotaCPUs}},
		Workers: config.Workers{HeartbeatS: 1, LeaseS: modelLease.Seconds(), CancelS: modelCancelGrace.Seconds()},
		KVLimits: config.KVLimits{
			RPS:      100,
			WriteRPS: 50,
			ValueKB:  8,
			TxnOps:   12,
			Next:     &config.KVLimits{ValueKB: 1, TxnOps: 3},
		},
		Resources: config.Resources{CoreShare: 1, RAMMB: 100, MaxConnections: 100}}}
}

// modelCatalog is the catalog of that fleet: a single instance type.
var modelCatalog = protocol.Catalog{Types: []protocol.InstanceType{
	{
		Name:        "m",
		CPUs:        modelMachineCPUs,
		MemoryGB:    64,
		CacheGB:     10,
		Price:       1,
		SpotPrice:   1,
		BootSeconds: 5,
		Zones:       []string{"a"},
	}}}

// testHeartbeat returns a heartbeat, without task statuses, of a spot instance of that fleet.
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

// newTestLeader returns a leader whose lease is valid until the test revokes it. The changes
// are applied to the leader's dependencies before it is created.
func newTestLeader(token uint64, clock units.Clock, changes ...func(*Deps)) *Leader {
	deps := Deps{
		Settings:         modelSettings(),
		Policy:           config.DefaultPolicy(),
		Clock:            clock,
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics:          telemetry.NewMetrics(),
		Format:           fake.NewRecordFormat(storage.FormatV1),
		UnreachablePeers: func() int { return 0 },
		PeerReachable:    func() bool { return false },
	}
	for _, change := range changes {
		change(&deps)
	}
	return NewLeader(&fake.Leadership{FencingToken: token}, deps)
}

// newEmptyLeader returns a leader that has restored no jobs, and its clock, set to now.
func newEmptyLeader(token uint64, now units.Micros) (*Leader, *fake.Clock) {
	clock := &fake.Clock{Now: now}
	leader := newTestLeader(token, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	return leader, clock
}

// newLeaderWithJob returns a leader with fencing token 7 and one job, testJob, which is durable
// and pending.
func newLeaderWithJob(t *testing.T, tasks int) (*Leader, *fake.Clock) {
	t.Helper()
	leader, clock := newEmptyLeader(7, 100*units.Second)
	spec := *fake.JobSpec(testJob)
	spec.Tasks = tasks
	leader.state.NewJob(spec, clock.Now, clock.Now)
	leader.commitWrites()
	return leader, clock
}

// newLeaderWithStore returns a leader that uses a key-value store. It has not restored its
// records.
func newLeaderWithStore(t *testing.T, token uint64, store *fake.KVServer, changes ...func(*Deps)) *Leader {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	clock := &fake.Clock{Now: units.Second}
	client := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.KVLimits{
		RPS:      1e4,
		WriteRPS: 1e4,
	}, 0, clock)
	return newTestLeader(token, clock, append([]func(*Deps){func(d *Deps) {
		d.KV = client
		d.Format = recordformat.NewNegotiator("n", nil, storage.FormatV2, client, d.Log)
	}}, changes...)...)
}

// setFormat sets the record format that the leader uses.
func (l *Leader) setFormat(format storage.Format) {
	l.Format.(*fake.RecordFormat).Format.Store(int64(format))
}

// fakeLeadership returns the leader's fake leadership, for tests that revoke or inspect it.
func (l *Leader) fakeLeadership() *fake.Leadership { return l.leadership.(*fake.Leadership) }

// records returns a reader of the leader's records.
func (l *Leader) records() recordReader {
	return recordReader{store: l.KV, clock: l.Clock, workers: l.Settings.Fleet.Workers}
}

// exchange has the leader handle a heartbeat and returns the commands in its response, after
// committing the write batches that the response depends on.
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

// nextBatch builds the next write batch. It returns nil if none is due.
func (l *Leader) nextBatch() *cluster.WriteBatch {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.BuildWriteBatch(l.persister.NextWriteID(), l.persister.BucketVersions(), cluster.BatchLimits{Background: true}, l.Clock.Steady())
}

// commitWrites commits all write batches that are due, without a key-value store.
func (l *Leader) commitWrites() {
	for batch := l.nextBatch(); batch != nil; batch = l.nextBatch() {
		l.state.BatchCommitted(batch, 1)
	}
}

// commitNext sends the next write batch to the key-value store, if one is due.
func (l *Leader) commitNext(ctx context.Context) {
	if batch := l.nextBatch(); batch != nil {
		l.persister.CommitBatch(ctx, batch)
	}
}

// writeAllRecords writes all jobs of a leader and returns their records.
func writeAllRecords(leader *Leader) []protocol.Item {
	var records []protocol.Item
	for _, job := range leader.state.Jobs {
		job.MarkChanged(units.Second, true)
	}
	for {
		batch := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, units.Second)
		if batch == nil {
			return records
		}
		for _, change := range batch.Txn.Then {
			records = append(records, protocol.Item{Key: change.Set, Value: change.Value, Version: 1})
		}
		leader.state.BatchCommitted(batch, 1)
	}
}

// decodeState returns the job state in the body of an answer.
func decodeState(t *testing.T, a answer.Answer) protocol.JobState {
	t.Helper()
	var state protocol.JobState
	if err := protocol.Decode(a.Body, &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// startLoop runs loop in a goroutine until the test ends, and then waits for it to return.
func startLoop(t testing.TB, loop func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// eventually reports whether condition becomes true within limit.
func eventually(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
