package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// store is a fake key-value store that applies write batches.
type store struct {
	items    map[string]protocol.Item
	revision uint64
}

// apply applies a transaction and returns the new revision. It fails the test if a condition
// does not hold or the transaction exceeds the limits, with sizes as JSON like in the key-value
// store.
func (s *store) apply(t testingT, txn protocol.Txn, limits config.KVLimits) uint64 {
	for _, c := range txn.If {
		if !strings.HasPrefix(c.Key, storage.PrefixBucketHeads) && s.items[c.Key].Version != c.Version {
			t.Fatalf("condition on %s: version %d, expected %d", c.Key, s.items[c.Key].Version, c.Version)
		}
	}
	if len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps {
		t.Fatalf("%d changes on %d conditions", len(txn.Then), len(txn.If))
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(s.items, c.Delete)
			continue
		}
		if n := sizeAsJSON(t, c.Value); n > limits.ValueBytes() {
			t.Fatalf("%s: a value of %d bytes", c.Set, n)
		}
		s.items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: s.revision}
	}
	return s.revision
}

// testingT is the common part of *testing.T and *rapid.T.
type testingT interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// jobItems returns the items under the jobs' prefix, ordered by key.
func (s *store) jobItems() []protocol.Item {
	var items []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, storage.PrefixJobs) {
			items = append(items, s.items[key])
		}
	}
	return items
}

func sizeAsJSON(t testingT, value protocol.Raw) int {
	var v map[string]any
	if err := protocol.Decode(value, &v); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(withStringKeys(v))
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// withStringKeys converts the keys of all maps in a decoded value to strings, as JSON requires.
func withStringKeys(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = withStringKeys(v[k])
		}
	case map[any]any:
		out := map[string]any{}
		for k := range v {
			out[fmt.Sprint(k)] = withStringKeys(v[k])
		}
		return out
	case []any:
		for i := range v {
			v[i] = withStringKeys(v[i])
		}
	}
	return v
}
