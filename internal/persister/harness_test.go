package persister

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// persisterLimits are limits of the key-value store that the tests never reach.
var persisterLimits = config.KVLimits{RPS: 1e4, WriteRPS: 1e4, ValueKB: 8, TxnOps: 12}

// newTestClient returns a client of a fake key-value store.
func newTestClient(t *testing.T, server *fake.KVServer, clock units.Clock) *kv.Client {
	t.Helper()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return kv.NewClient(nil, strings.TrimPrefix(listener.URL, "http://"), persisterLimits, 0, clock)
}

// newTestPersister returns the persister of a new leader that has not restored any records.
func newTestPersister(client *kv.Client, clock units.Clock, token uint64, limits config.KVLimits) *Persister {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := &config.Settings{Name: "n", Fleet: config.Fleet{
		Teams:    []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: 9}},
		KVLimits: limits,
	}}
	state := cluster.NewState(settings.Fleet.Teams, limits)
	leadership := &fake.Leadership{FencingToken: token}
	terminals := NewTerminalJobs(state, client)
	writeSignal := loop.NewSignal()
	return New(Deps{
		State:      state,
		Leadership: leadership,
		Ingester: NewIngester(IngesterDeps{
			State:       state,
			Leadership:  leadership,
			Terminals:   terminals,
			Settings:    settings,
			KV:          client,
			Clock:       clock,
			Log:         log,
			WriteSignal: writeSignal,
		}),
		Terminals:   terminals,
		OnCatalog:   func(map[string]uint64) {},
		Settings:    settings,
		KV:          client,
		Format:      fake.NewRecordFormat(storage.FormatV1),
		Clock:       clock,
		Log:         log,
		Tracer:      cluster.NewAttemptTracer(log),
		Token:       token,
		ElectedAt:   clock.Steady(),
		WriteSignal: writeSignal,
		CycleSignal: loop.NewSignal(),
	})
}

// newRestoredPersister returns a persister that has restored the records of a fake key-value store,
// and its clock.
func newRestoredPersister(t *testing.T, server *fake.KVServer, token uint64) (*Persister, *fake.Clock) {
	t.Helper()
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(newTestClient(t, server, clock), clock, token, persisterLimits)
	if !p.Restore(t.Context()) {
		t.Fatal("Restore failed")
	}
	if !p.State.Restored {
		t.Fatal("State.Restored is not set after Restore")
	}
	select {
	case <-p.Restored():
	default:
		t.Fatal("the Restored channel is not closed after Restore")
	}
	return p, clock
}
