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

// production gives records as the version before services wrote them.
func production(t *testing.T) map[string]protocol.Item {
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

// All that the version before wrote is read for good.
func TestRecordsOfTheVersionBeforeAreRead(t *testing.T) {
	s := &store{items: production(t)}
	jobs, orphans, err := ParseJobs(s.rows())
	if err != nil || len(orphans) > 0 {
		t.Fatal(err, orphans)
	}
	old, err := fake.ParseLegacyJobs(s.rows())
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
		if len(j.UnreconciledMachines) != w.names || j.DoneCount() != w.done || len(old[j.Spec.ID].Machines) != w.names {
			t.Errorf("%s: %d names, %d done, want %v", j.Spec.ID, len(j.UnreconciledMachines), j.DoneCount(), w)
		}
		if j.Cancelled != (j.Spec.ID == "j-000004") || j.IsService() != (j.Spec.ID == "j-000005") {
			t.Errorf("%s: cancelled %v, service %v", j.Spec.ID, j.Cancelled, j.IsService())
		}
	}
	if len(jobs) != len(want) {
		t.Errorf("%d jobs", len(jobs))
	}
	a, err := ParsePendingSubmission(s.items["inbox/j-000007"])
	if err != nil || a.Spec.Tasks != 12 || a.Spec.Team != "planning" {
		t.Errorf("%+v, %v", a, err)
	}
	var lease, head storage.LeaseRecord
	var final storage.TerminalRecord
	for key, into := range map[string]any{storage.KeyLeaderLease: &lease, storage.KeyBucketHead(3): &head, storage.KeyTerminal("j-000006"): &final} {
		if err := protocol.Decode(s.items[key].Value, into); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	}
	if lease.Holder != "dune-1" || lease.Incarnation != 7 || head.Incarnation != 4 || final.Stage != protocol.StageDone {
		t.Errorf("%+v %+v %+v", lease, head, final)
	}
	if c, _, err := storage.ParseCatalog([]protocol.Item{s.items[storage.KeyCatalog]}); err != nil || len(c.Types) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

// A record of the version before that is larger than a value may be by then is
// divided before it has to be changed. Wherever that stops, all 600 machines are
// named and all completions kept.
func TestLargeOldRecordsAreDivided(t *testing.T) {
	limits := config.KVLimits{ValueKB: 16, TxnOps: 12, Next: &config.KVLimits{ValueKB: 2, TxnOps: 4}}
	for crash := range 40 {
		s := &store{items: production(t), revision: 100}
		for restart := 0; ; restart++ {
			l := NewState(nil, limits)
			l.UpgradeFormat(storage.FormatNew, 0)
			jobs, orphans, err := ParseJobs(s.rows())
			if err != nil || len(orphans) > 0 {
				t.Fatal(err, orphans)
			}
			for _, j := range jobs {
				l.AddJob(j)
			}
			if got := len(l.Jobs["j-000003"].UnreconciledMachines); got != 600 {
				t.Fatalf("crash after %d saves: %d machines are named", crash, got)
			}
			if got := l.Jobs["j-000002"].DoneCount(); got != 12858 {
				t.Fatalf("crash after %d saves: %d are done", crash, got)
			}
			n := 0
			for ; ; n++ {
				save := l.BuildWriteBatch(fmt.Sprintf("%d-%d", restart+8, n), make([]uint64, storage.Buckets), BatchLimits{Background: true}, 10)
				if save == nil || restart == 0 && n == crash {
					break
				}
				l.BatchCommitted(save, s.apply(t, save.Txn, limits.Lowest()))
			}
			if restart > 0 {
				break
			}
		}
		for _, item := range s.rows() {
			if strings.Contains(item.Key, "/p") || sizeAsJSON(t, item.Value) > 2048 {
				t.Errorf("%s is left as it was", item.Key)
			}
		}
	}
}

// The catalog is divided where it would not fit, and read in both forms.
func TestCatalogInParts(t *testing.T) {
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
			if format != storage.FormatOld && sizeAsJSON(t, c.Value) > 2048 {
				t.Errorf("%s is too large", c.Set)
			}
			items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: uint64(i + 1)}
		}
	}
	for step, want := range []struct {
		types  int
		format storage.Format
	}{{40, storage.FormatOld}, {40, storage.FormatNew}, {3, storage.FormatNew}} {
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
		if _, old := stored[storage.KeyCatalog]; old != (want.format == storage.FormatOld) {
			t.Errorf("step %d: records %v", step, stored)
		}
	}
}
