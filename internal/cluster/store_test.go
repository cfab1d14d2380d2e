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

// store applies write batches as the key-value store would.
type store struct {
	items    map[string]protocol.Item
	revision uint64
}

// apply checks a transaction against its conditions and the limits, with sizes as the key-value store counts them.
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

// testingT is a test, of generated input or not.
type testingT interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// rows returns what a restore reads.
func (s *store) rows() []protocol.Item {
	var rows []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, storage.PrefixJobs) {
			rows = append(rows, s.items[key])
		}
	}
	return rows
}

func sizeAsJSON(t testingT, value protocol.Raw) int {
	var v map[string]any
	if err := protocol.Decode(value, &v); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(textKeys(v))
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// textKeys returns a decoded value with maps as JSON has them.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = textKeys(v[k])
		}
	case map[any]any:
		out := map[string]any{}
		for k := range v {
			out[fmt.Sprint(k)] = textKeys(v[k])
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}
