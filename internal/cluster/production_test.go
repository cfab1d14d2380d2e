package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// productionRecords returns records written by the legacy version, by key.
func productionRecords(t *testing.T) map[string]protocol.Item {
	raw, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows []struct {
		Key     string
		Value   []byte
		Version uint64
	}
	if err := json.Unmarshal(raw, &rows); err != nil {
		t.Fatal(err)
	}
	items := map[string]protocol.Item{}
	for _, r := range rows {
		items[r.Key] = protocol.Item{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	return items
}

// Records of the legacy version, the last one without services, must remain readable.
func TestRecordsOfLegacyVersionAreRead(t *testing.T) {
	s := &store{items: productionRecords(t)}
	jobs, orphans, err := ParseJobs(s.jobItems())
	if err != nil || len(orphans) > 0 {
		t.Fatal(err, orphans)
	}
	legacy, err := fake.ParseLegacyJobs(s.jobItems())
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]struct{ names, done int }{
		"j-000001": {3, 2},
		"j-000002": {40, 12858},
		"j-000003": {600, 0},
		"j-000004": {1, 0},
		"j-000005": {3, 0},
	}
	for _, j := range jobs {
		w := want[j.Spec.ID]
		if len(j.UnreconciledMachines) != w.names || j.DoneCount() != w.done || len(legacy[j.Spec.ID].Machines) != w.names {
			t.Errorf("%s: %d names, %d done, want %v", j.Spec.ID, len(j.UnreconciledMachines), j.DoneCount(), w)
		}
		if j.Cancelled != (j.Spec.ID == "j-000004") || j.IsService() != (j.Spec.ID == "j-000005") {
			t.Errorf("%s: cancelled %v, service %v", j.Spec.ID, j.Cancelled, j.IsService())
		}
	}
	if len(jobs) != len(want) {
		t.Errorf("%d jobs", len(jobs))
	}
	pending, err := ParsePendingSubmission(s.items["inbox/j-000007"])
	if err != nil || pending.Spec.Tasks != 12 || pending.Spec.Team != "planning" {
		t.Errorf("pending submission %+v, %v", pending, err)
	}
	var lease, head storage.LeaseRecord
	var terminal storage.TerminalRecord
	for key, into := range map[string]any{storage.KeyLeaderLease: &lease, storage.KeyBucketHead(3): &head, storage.KeyTerminal("j-000006"): &terminal} {
		if err := protocol.Decode(s.items[key].Value, into); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	}
	if lease.Holder != "dune-1" || lease.Incarnation != 7 || head.Incarnation != 4 || terminal.Stage != protocol.StageDone {
		t.Errorf("%+v %+v %+v", lease, head, terminal)
	}
	if c, _, err := storage.ParseCatalog([]protocol.Item{s.items[storage.KeyCatalog]}); err != nil || len(c.Types) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

// Records in FormatV1 can be larger than the lowered limit of a value. They are split
// before they have to be changed. Wherever a crash interrupts that, all 600 machines remain
// named and all completions are kept.
func TestLargeV1RecordsAreSplitWithoutLoss(t *testing.T) {
	limits := config.KVLimits{ValueKB: 16, TxnOps: 12, Next: &config.KVLimits{ValueKB: 2, TxnOps: 4}}
	for crash := range 40 {
		s := &store{items: productionRecords(t), revision: 100}
		for restart := 0; ; restart++ {
			state := NewState(nil, limits)
			state.UpgradeFormat(storage.FormatV2, 0)
			jobs, orphans, err := ParseJobs(s.jobItems())
			if err != nil || len(orphans) > 0 {
				t.Fatal(err, orphans)
			}
			for _, j := range jobs {
				state.AddJob(j)
			}
			if got := len(state.Jobs["j-000003"].UnreconciledMachines); got != 600 {
				t.Fatalf("crash after %d batches: %d machines are named", crash, got)
			}
			if got := state.Jobs["j-000002"].DoneCount(); got != 12858 {
				t.Fatalf("crash after %d batches: %d tasks are done", crash, got)
			}
			n := 0
			for ; ; n++ {
				batch := state.BuildWriteBatch(fmt.Sprintf("%d-%d", restart+8, n), make([]uint64, storage.Buckets), BatchLimits{Background: true}, 10)
				if batch == nil || restart == 0 && n == crash {
					break
				}
				state.BatchCommitted(batch, s.apply(t, batch.Txn, limits.Lowest()))
			}
			if restart > 0 {
				break
			}
		}
		for _, item := range s.jobItems() {
			if strings.Contains(item.Key, "/p") || sizeAsJSON(t, item.Value) > 2048 {
				t.Errorf("%s is not migrated or too large", item.Key)
			}
		}
	}
}

// A catalog that exceeds the limit of a value is split into several records. Both the single
// record of FormatV1 and the split records can be read.
func TestCatalogTooLargeForOneRecordIsSplit(t *testing.T) {
	var types []protocol.InstanceType
	for i := range 40 {
		types = append(types, protocol.InstanceType{
			Name:     fmt.Sprintf("type-%02d", i),
			CPUs:     4,
			MemoryGB: 16.5,
			Price:    0.25,
			Zones:    []string{"taytay", "baliuag", "mandaue"},
		})
	}
	items := map[string]protocol.Item{}
	stored := map[string]uint64{}
	write := func(types []protocol.InstanceType, format storage.Format) {
		for i, c := range storage.CatalogChanges(types, format, 2048, stored) {
			if c.Delete != "" {
				delete(items, c.Delete)
				continue
			}
			if format != storage.FormatV1 && sizeAsJSON(t, c.Value) > 2048 {
				t.Errorf("%s is too large", c.Set)
			}
			items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: uint64(i + 1)}
		}
	}
	for step, want := range []struct {
		types  int
		format storage.Format
	}{{40, storage.FormatV1}, {40, storage.FormatV2}, {3, storage.FormatV2}} {
		write(types[:want.types], want.format)
		var rows []protocol.Item
		for _, key := range slices.Sorted(maps.Keys(items)) {
			rows = append(rows, items[key])
		}
		var c protocol.Catalog
		var err error
		if c, stored, err = storage.ParseCatalog(rows); err != nil || len(c.Types) != want.types {
			t.Errorf("step %d: %d types, %v", step, len(c.Types), err)
		}
		if _, inFormatV1 := stored[storage.KeyCatalog]; inFormatV1 != (want.format == storage.FormatV1) {
			t.Errorf("step %d: records %v", step, stored)
		}
	}
}
