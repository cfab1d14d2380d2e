package recordformat

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// formatsOn makes what each of some controllers knows of the fleet's format.
func formatsOn(t *testing.T, s *standin.State, nodes ...string) map[string]*Negotiator {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	out := map[string]*Negotiator{}
	for i, node := range nodes {
		store := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
			RPS:      1e4,
			WriteRPS: 1e4,
		}, len(nodes)-1, units.NewSystemClock())
		others := append(append([]string{}, nodes[:i]...), nodes[i+1:]...)
		out[node] = NewNegotiator(node, others, storage.FormatNew, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	return out
}

// The fleet's format is raised only once every configured controller has said
// that it reads the new one, by a leader alone; whoever comes later reads the same,
// and nothing lowers it.
func TestFormatIsRaisedOnceAllAreUpgraded(t *testing.T) {
	s := standin.NewState()
	f := formatsOn(t, s, "a", "b", "c")
	step := func(node string, leads bool, want storage.Format) {
		t.Helper()
		if err := f[node].step(t.Context(), leads); err != nil {
			t.Fatal(err)
		}
		if got := f[node].Current(); got != want {
			t.Errorf("%s goes by format %d, want %d", node, got, want)
		}
	}
	step("a", true, storage.FormatOld)
	step("b", false, storage.FormatOld)
	step("a", true, storage.FormatOld) // c is not upgraded, or has never been heard of
	step("c", false, storage.FormatOld)
	step("b", false, storage.FormatOld) // only a leader raises it
	step("a", true, storage.FormatNew)
	step("b", false, storage.FormatNew)
	s.Put(storage.KeyFormat("c"), protocol.Encode(storage.FormatRecord{Format: storage.FormatOld}))
	later := formatsOn(t, s, "a", "b", "c")["b"]
	if err := later.step(t.Context(), true); err != nil || later.Current() != storage.FormatNew {
		t.Errorf("%d, %v", later.Current(), err)
	}
}
