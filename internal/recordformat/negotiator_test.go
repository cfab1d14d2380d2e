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

// newNegotiators returns the negotiators of the named controllers, by name, on a fake key-value
// store.
func newNegotiators(t *testing.T, server *fake.KVServer, names ...string) map[string]*Negotiator {
	t.Helper()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	negotiators := map[string]*Negotiator{}
	for i, name := range names {
		client := kv.NewClient(nil, strings.TrimPrefix(listener.URL, "http://"), config.KVLimits{
			RPS:      1e4,
			WriteRPS: 1e4,
		}, len(names)-1, units.NewSystemClock())
		others := slices.Concat(names[:i], names[i+1:])
		negotiators[name] = NewNegotiator(name, others, storage.FormatV2, client, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	return negotiators
}

// The fleet format is raised only once every configured controller has announced that it reads the
// new one, and only by a leader. It is not lowered when a controller announces an older format.
func TestFormatIsRaisedOnceAllAreUpgraded(t *testing.T) {
	server := fake.NewKVServer()
	negotiators := newNegotiators(t, server, "a", "b", "c")
	step := func(name string, leading bool, want storage.Format) {
		t.Helper()
		if err := negotiators[name].step(t.Context(), leading); err != nil {
			t.Fatal(err)
		}
		if got := negotiators[name].Current(); got != want {
			t.Errorf("%s has format %d, want %d", name, got, want)
		}
	}
	step("a", true, storage.FormatV1)
	step("b", false, storage.FormatV1)
	step("a", true, storage.FormatV1) // c is not upgraded, or has never started
	step("c", false, storage.FormatV1)
	step("b", false, storage.FormatV1) // a follower does not raise it
	step("a", true, storage.FormatV2)
	step("b", false, storage.FormatV2)
	server.Put(storage.KeyFormat("c"), protocol.Encode(storage.FormatRecord{Format: storage.FormatV1}))
	later := newNegotiators(t, server, "a", "b", "c")["b"]
	if err := later.step(t.Context(), true); err != nil || later.Current() != storage.FormatV2 {
		t.Errorf("a restarted leader has format %d, %v, want the raised format", later.Current(), err)
	}
}
