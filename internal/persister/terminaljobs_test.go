package persister

import (
	"errors"
	"fmt"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Recently used records stay in the cache, and the number of cached records is bounded.
func TestTerminalCacheKeepsRecentRecords(t *testing.T) {
	const size = 8
	cache := newTerminalCache(size)
	for n := range 10 * size {
		cache.put(fmt.Sprintf("j-%06d", n), storage.StoredTerminalRecord{Version: uint64(n)})
		if _, ok := cache.get("j-000000"); !ok {
			t.Fatalf("a record that is read each time was evicted after %d others", n)
		}
		if kept := len(cache.previous) + len(cache.recent); kept > size {
			t.Fatalf("%d records are cached", kept)
		}
	}
	if _, ok := cache.get("j-000001"); ok {
		t.Error("a record that was never read is still cached")
	}
}

func TestReadTerminalAcceptsOnlyTerminalRecords(t *testing.T) {
	const key = "j-000001"
	done := storage.TerminalRecord{Stage: protocol.StageDone, Tasks: 2, Done: 2}
	for name, c := range map[string]struct {
		value      any // nil: there is no record
		found      bool
		unreadable bool
	}{
		"no record":         {},
		"terminal":          {value: done, found: true},
		"not terminal":      {value: storage.TerminalRecord{Stage: protocol.StageRunning}, unreadable: true},
		"of another format": {value: 7, unreadable: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := fake.NewKVServer()
			if c.value != nil {
				server.Put(storage.KeyTerminal(key), protocol.Encode(c.value))
			}
			client := newTestClient(t, server, &fake.Clock{Now: units.Second})
			record, found, err := ReadTerminal(t.Context(), client, key)
			if found != c.found || found && (record.TerminalRecord != done || record.Version == 0) {
				t.Errorf("got %+v, found %v", record, found)
			}
			var unreadable *storage.RecordError
			if errors.As(err, &unreadable) != c.unreadable || err != nil && !c.unreadable {
				t.Fatalf("error: %v", err)
			}
			if c.unreadable && unreadable.Key != storage.KeyTerminal(key) {
				t.Errorf("the error has the key %s", unreadable.Key)
			}
		})
	}
}
