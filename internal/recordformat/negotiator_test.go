package recordformat

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newNegotiators returns the negotiators of some controllers on a fake key-value store, by name.
func newNegotiators(t *testing.T, server *fake.KVServer, nodes ...string) map[string]*Negotiator {
	t.Helper()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	negotiators := map[string]*Negotiator{}
	for i, node := range nodes {
		client := kv.NewClient(nil, strings.TrimPrefix(listener.URL, "http://"), config.KVLimits{
			RPS:      1e4,
			WriteRPS: 1e4,
		}, len(nodes)-1, units.NewSystemClock())
		others := slices.Concat(nodes[:i], nodes[i+1:])
		negotiators[node] = NewNegotiator(node, others, storage.FormatNew, client, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	return negotiators
}

// The fleet's format is raised only once every configured controller has announced that it reads
// the new one, and by a leader alone; whoever comes later reads the same, and nothing lowers it.
func TestFormatIsRaisedOnceAllAreUpgraded(t *testing.T) {
	server := fake.NewKVServer()
	negotiators := newNegotiators(t, server, "a", "b", "c")
	step := func(node string, leading bool, want storage.Format) {
		t.Helper()
		if err := negotiators[node].step(t.Context(), leading); err != nil {
			t.Fatal(err)
		}
		if got := negotiators[node].Current(); got != want {
			t.Errorf("%s has format %d, want %d", node, got, want)
		}
	}
	step("a", true, storage.FormatOld)
	step("b", false, storage.FormatOld)
	step("a", true, storage.FormatOld) // c is not upgraded, or has never been heard of
	step("c", false, storage.FormatOld)
	step("b", false, storage.FormatOld) // only a leader raises it
	step("a", true, storage.FormatNew)
	step("b", false, storage.FormatNew)
	server.Put(storage.KeyFormat("c"), protocol.Encode(storage.FormatRecord{Format: storage.FormatOld}))
	later := newNegotiators(t, server, "a", "b", "c")["b"]
	if err := later.step(t.Context(), true); err != nil || later.Current() != storage.FormatNew {
		t.Errorf("%d, %v", later.Current(), err)
	}
}
