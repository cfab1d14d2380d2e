package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

func drawSpec(t *rapid.T) protocol.JobSpec {
	text := rapid.StringMatching(`[a-z0-9 "\\é-]{0,20}`)
	amount := rapid.Int64Range(0, 1e12)
	return protocol.JobSpec{
		ID:       fmt.Sprintf("j-%06d", rapid.IntRange(0, 999999).Draw(t, "id")),
		Class:    text.Draw(t, "class"),
		Team:     "team",
		Kind:     protocol.JobKind(rapid.IntRange(0, 2).Draw(t, "shape")),
		Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Tasks:    rapid.SampledFrom([]int{1, 7, 8, 9, 300, 16384, 16385, 40000, protocol.MaxTasks}).Draw(t, "tasks"),
		Request: units.Resources{
			CPU:    units.Amount(amount.Draw(t, "cpu")),
			GPU:    units.Amount(amount.Draw(t, "gpu")),
			Memory: units.Amount(amount.Draw(t, "memory")),
		},
		InstanceTypes:      rapid.SampledFrom([][]string{nil, {"g8", "g16"}}).Draw(t, "types"),
		Zone:               text.Draw(t, "zone"),
		ZoneAffinity:       rapid.Bool().Draw(t, "one zone"),
		ZoneSpread:         rapid.Bool().Draw(t, "spread"),
		AllowSpot:          rapid.Bool().Draw(t, "spot"),
		Image:              text.Draw(t, "image"),
		ImageSize:          units.Amount(amount.Draw(t, "image size")),
		Estimate:           units.Micros(amount.Draw(t, "estimate")),
		CheckpointInterval: units.Micros(amount.Draw(t, "checkpoint")),
		CheckpointDuration: units.Micros(amount.Draw(t, "save")),
		Deadline:           units.Micros(amount.Draw(t, "deadline")),
	}
}

// store applies saves as the state service would.
type store struct {
	items    map[string]protocol.Item
	revision uint64
}

// apply holds a transaction against the limits, sizes as the service counts them.
func (s *store) apply(t testingT, txn protocol.Txn, limits config.State) uint64 {
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

// rows lists what a restore reads.
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

// textKeys gives a decoded value with maps as JSON has them.
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

// Whatever a job is, however many of its tasks are done and whatever it is on,
// what a restore reads is what was saved, in the old form and in the new one and
// at every step between: a machine that may hold a task is named, no completion
// that was durable is lost, and no record or transaction is over its limit.
func TestWrittenJobsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := config.State{ValueKB: 16, TxnOps: 12}
		now.Next = rapid.SampledFrom([]*config.State{nil, {
			ValueKB: 2,
			TxnOps:  4,
		}, {ValueKB: 1, TxnOps: 3}}).Draw(t, "limits to come")
		l := NewState([]config.Team{{Name: "team"}}, now)
		s := &store{items: map[string]protocol.Item{}}
		bucketVersions := make([]uint64, storage.Buckets)
		limits, format := now, storage.FormatOld
		saves := 0
		check := func() {
			jobs, orphans, err := ParseJobs(s.rows())
			if err != nil {
				t.Fatal(err)
			}
			var before map[string]*standin.OldJob
			if format == storage.FormatOld { // a leader of the version before may come
				if before, err = standin.ReadAsBefore(s.rows()); err != nil || len(orphans) > 0 {
					t.Fatal(err, orphans)
				}
			}
			for id := range orphans {
				if _, over := s.items[storage.KeyTerminal(id)]; !over {
					t.Fatalf("%s has records but not its own", id)
				}
			}
			for _, got := range jobs {
				want, known := l.Jobs[got.Spec.ID]
				if !known {
					t.Fatalf("%s is not known", got.Spec.ID)
				}
				if !reflect.DeepEqual(got.Spec, want.Spec) || got.Submitted != want.Submitted {
					t.Fatalf("restored %+v, saved %+v", got.Spec, want.Spec)
				}
				for m := range l.Machines {
					if want.MachineIsDurable(m) && !got.UnreconciledMachines[m] {
						t.Fatalf("%s may start on %s, which no record names", got.Spec.ID, m)
					}
					if before != nil && want.MachineIsDurable(m) && !slices.Contains(before[got.Spec.ID].Machines, m) {
						t.Fatalf("%s may start on %s, where the version before does not look", got.Spec.ID, m)
					}
				}
				for i := range want.Spec.Tasks {
					if want.DoneIsDurable(i) != got.IsDone(i) && (want.DoneIsDurable(i) || !want.IsDone(i)) {
						t.Fatalf("%s: task %d is done %v, durably %v, restored %v", got.Spec.ID, i, want.IsDone(i), want.DoneIsDurable(i), got.IsDone(i))
					}
				}
			}
		}
		save := func(most int) {
			for range most {
				saves++
				b := l.BuildWriteBatch(fmt.Sprintf("1-%d", saves), bucketVersions, BatchLimits{Background: true}, 1)
				if b == nil {
					return
				}
				if rapid.IntRange(0, 5).Draw(t, "refused") == 0 {
					l.BatchRefused(b, 1)
					continue
				}
				revision := s.apply(t, b.Txn, limits)
				if key := b.ProbeKey(); key != "" { // a save without an answer is known by its id
					var record struct {
						Save string `cbor:"save"`
					}
					if err := protocol.Decode(s.items[key].Value, &record); err != nil || record.Save != b.ID {
						t.Fatalf("%s has save %q of %q, %v", key, record.Save, b.ID, err)
					}
				}
				l.BatchCommitted(b, revision)
				check()
			}
		}
		submit := func() {
			for range rapid.IntRange(1, 4).Draw(t, "jobs") {
				spec := drawSpec(t)
				if l.Jobs[spec.ID] == nil && s.items[storage.KeyTerminal(spec.ID)].Version == 0 && FitsRecords(&spec, format, now) && FitsRecords(&spec, storage.NewestFormat, now) {
					l.NewJob(spec, units.Micros(rapid.Int64Range(0, 1e15).Draw(t, "submitted")), 0)
				}
			}
		}
		number := uint64(0)
		play := func() {
			for _, id := range slices.Sorted(maps.Keys(l.Jobs)) {
				j := l.Jobs[id]
				for _, i := range rapid.SliceOfN(rapid.IntRange(0, j.Spec.Tasks-1), 0, 20).Draw(t, "done") {
					l.TaskDone(j, i, 0)
				}
				if rapid.IntRange(0, 9).Draw(t, "all done") == 0 {
					for i := range j.Spec.Tasks {
						l.TaskDone(j, i, 0)
					}
				}
				for range rapid.SampledFrom([]int{0, 1, 5, 400}).Draw(t, "starts") {
					m := l.EnsureMachine(fmt.Sprintf("i-%06d", rapid.IntRange(1, 900).Draw(t, "machine")), "m", "a", true, 0)
					if number++; j.Accepted() && j.CanRecordMachine(m.ID) {
						l.Assign(j, m, number, 0)
					}
				}
				for _, a := range j.LiveAttempts {
					if a.Number%3 == 0 {
						l.AttemptGone(a, 0)
					}
				}
			}
		}
		steps := rapid.IntRange(1, 3).Draw(t, "steps")
		for step := range 2 * steps {
			if step == steps {
				l.UpgradeFormat(storage.FormatNew, 1)
				format, limits = storage.FormatNew, now.Both()
				limits.ValueKB, limits.TxnOps = now.Both().ValueKB, now.Both().TxnOps
			}
			submit()
			save(rapid.IntRange(1, 30).Draw(t, "saves"))
			play()
			save(rapid.IntRange(1, 30).Draw(t, "saves"))
		}
		save(10_000)
		jobs, _, _ := ParseJobs(s.rows())
		if len(jobs) != len(l.Jobs) {
			t.Fatalf("%d jobs restored of %d", len(jobs), len(l.Jobs))
		}
		for _, j := range jobs {
			if j.format != storage.FormatNew {
				t.Fatalf("%s is still in the old form", j.Spec.ID)
			}
		}
		for _, item := range s.rows() {
			if strings.Contains(item.Key, "/p") {
				t.Fatalf("%s is left over", item.Key)
			}
		}
	})
}

func TestUnreadableRowsFailTheWhole(t *testing.T) {
	good := newJob(protocol.JobSpec{ID: "j-000001", Tasks: 3}, 0, storage.FormatOld).record("1-1", nil)
	other := good
	other.Tasks = protocol.MaxTasks + 1
	later := good
	later.Format = storage.NewestFormat + 1
	for name, row := range map[string]protocol.Item{
		"not CBOR":          {Key: storage.KeyJob("j-000001"), Value: []byte{0xff}},
		"under another key": {Key: storage.KeyJob("j-000002"), Value: protocol.Encode(good)},
		"out of range":      {Key: storage.KeyJob("j-000001"), Value: protocol.Encode(other)},
		"later format":      {Key: storage.KeyJob("j-000001"), Value: protocol.Encode(later)},
		"unknown part":      {Key: storage.KeyJob("j-000001") + "/x1", Value: protocol.Encode(donePageRecord{})},
		"odd number": {
			Key:   storage.KeyJob("j-000001") + "/m01",
			Value: protocol.Encode(machineNamesRecord{Format: storage.FormatNew}),
		},
		"page of no job": {Key: storage.KeyJob("j-000001") + "x/d1", Value: protocol.Encode(donePageRecord{})},
	} {
		if jobs, _, err := ParseJobs([]protocol.Item{row}); err == nil {
			t.Errorf("%s: read as %v", name, jobs)
		}
	}
}

// A further record of a later format is not skipped, and one without a job's own
// is not taken for a job: it is left over if the job is over, else it is an error
// that the restore tells.
func TestPartsOfALaterFormatFailTheWhole(t *testing.T) {
	good := protocol.Encode(newJob(protocol.JobSpec{
		ID:    "j-000001",
		Tasks: 5000,
	}, 0, storage.FormatNew).record("1-1", nil))
	for kind, value := range map[byte]protocol.Raw{
		storage.PartMachineNames: protocol.Encode(machineNamesRecord{Format: storage.NewestFormat + 1}),
		storage.PartDonePage:     protocol.Encode(donePageRecord{Format: storage.NewestFormat + 1}),
	} {
		rows := []protocol.Item{
			{Key: storage.KeyJob("j-000001"), Value: good},
			{Key: storage.KeyJobPart("j-000001", kind, 1), Value: value},
		}
		if _, _, err := ParseJobs(rows); err == nil {
			t.Errorf("part %c of a later format is read", kind)
		}
		jobs, orphans, err := ParseJobs(rows[1:])
		if err != nil || len(jobs) != 0 || len(orphans["j-000001"]) != 1 {
			t.Errorf("part %c without its job: jobs %v, orphans %v, %v", kind, jobs, orphans, err)
		}
	}
}

// A machine stays named as long as it may hold a task, and a start may follow
// only once the name is durable.
func TestMachinesAreRecordedBeforeStarts(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	bucketVersions := make([]uint64, storage.Buckets)
	j := l.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 2}, 0, 0)
	build := func() *WriteBatch { return l.BuildWriteBatch("1-1", bucketVersions, BatchLimits{Background: true}, 0) }
	l.BatchCommitted(build(), 1)
	m := l.EnsureMachine("i-000001", "m", "a", true, 0)
	a := l.Assign(j, m, 1, 0)
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start before the save")
	}
	saved := j.Durable()
	s := build()
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start while the save is on its way")
	}
	l.BatchCommitted(s, 2)
	select {
	case <-saved:
	default:
		t.Fatal("the save's end was not told")
	}
	if !j.MachineIsDurable(m.ID) {
		t.Fatal("may not start after the save")
	}
	l.AttemptGone(a, 0)
	l.TaskDone(j, 0, 0)
	s = build() // leaves the name out
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start though the name is being taken out")
	}
	l.BatchRefused(s, 0)
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start after a refused save that took the name out")
	}
}

// A page in the old form does not tell whose save it was, so the job's own record
// goes with it: a save that was carried out and not answered must be known again,
// or its leader takes it for another's.
func TestOldPagesAreWrittenWithTheirJob(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	bucketVersions := make([]uint64, storage.Buckets)
	j := l.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 40_000}, 0, 0)
	l.BatchCommitted(l.BuildWriteBatch("1-1", bucketVersions, BatchLimits{}, 0), 1)
	l.TaskDone(j, 20_000, 0)
	s := l.BuildWriteBatch("1-2", bucketVersions, BatchLimits{Background: true}, 10)
	if s.ProbeKey() != storage.KeyJob("j-000001") || len(s.Txn.Then) != 2 {
		t.Errorf("known by %s, %d changes", s.ProbeKey(), len(s.Txn.Then))
	}
}
