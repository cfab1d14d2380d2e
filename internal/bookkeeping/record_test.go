package bookkeeping

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/units"
)

func drawSpec(t *rapid.T) protocol.JobSpec {
	text := rapid.StringMatching(`[a-z0-9 "\\é-]{0,20}`)
	amount := rapid.Int64Range(0, 1e12)
	return protocol.JobSpec{
		ID: fmt.Sprintf("j-%06d", rapid.IntRange(0, 999999).Draw(t, "id")), Class: text.Draw(t, "class"), Team: "team",
		Shape:    protocol.Shape(rapid.IntRange(0, 2).Draw(t, "shape")),
		Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Tasks:    rapid.SampledFrom([]int{1, 7, 8, 9, 300, 16384, 16385, 40000, protocol.MaxTasks}).Draw(t, "tasks"),
		Need: units.Resources{CPU: units.Amount(amount.Draw(t, "cpu")), GPU: units.Amount(amount.Draw(t, "gpu")),
			Memory: units.Amount(amount.Draw(t, "memory"))},
		Types: rapid.SampledFrom([][]string{nil, {"g8", "g16"}}).Draw(t, "types"), Zone: text.Draw(t, "zone"),
		OneZone: rapid.Bool().Draw(t, "one zone"), Spread: rapid.Bool().Draw(t, "spread"), Spot: rapid.Bool().Draw(t, "spot"),
		Image: text.Draw(t, "image"), ImageSize: units.Amount(amount.Draw(t, "image size")),
		Estimate: units.Micros(amount.Draw(t, "estimate")), Checkpoint: units.Micros(amount.Draw(t, "checkpoint")),
		Save: units.Micros(amount.Draw(t, "save")), Deadline: units.Micros(amount.Draw(t, "deadline")),
	}
}

// store applies saves as the state service would.
type store struct {
	items    map[string]protocol.Item
	revision uint64
}

func (s *store) apply(t *rapid.T, txn protocol.Txn, valueBytes int) uint64 {
	for _, c := range txn.If {
		if strings.HasPrefix(c.Key, PrefixHeads) {
			continue
		}
		if s.items[c.Key].Version != c.Version {
			t.Fatalf("condition on %s: version %d, expected %d", c.Key, s.items[c.Key].Version, c.Version)
		}
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(s.items, c.Delete)
			continue
		}
		// As JSON a value is larger than as CBOR; half as large again is a
		// generous reckoning for what is mostly one long text.
		if len(c.Value)*3/2 > valueBytes {
			t.Fatalf("%s: a value of %d bytes", c.Set, len(c.Value))
		}
		s.items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: s.revision}
	}
	return s.revision
}

// Whatever a job is and however many of its tasks are done, what a restore
// reads is what was saved, and no record or transaction is over its limit.
func TestSavedJobsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger([]config.Team{{Name: "team"}}, 8<<10)
		s := &store{items: map[string]protocol.Item{}}
		heads := make([]uint64, Buckets)
		limits := SaveLimits{Ops: 12, Tasks: true}
		save := func() {
			for n := 0; ; n++ {
				b := l.BuildSave(fmt.Sprintf("1-%d", n), heads, limits, 1)
				if b == nil {
					return
				}
				if len(b.Txn.Then) > limits.Ops || len(b.Txn.If) > 4*limits.Ops {
					t.Fatalf("%d changes on %d conditions", len(b.Txn.Then), len(b.Txn.If))
				}
				l.Applied(b, s.apply(t, b.Txn, 8<<10))
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "jobs") {
			spec := drawSpec(t)
			if l.Jobs[spec.ID] == nil && RecordFits(spec, 8<<10) {
				l.NewJob(spec, units.Micros(rapid.Int64Range(0, 1e15).Draw(t, "submitted")), 0)
			}
		}
		save()
		for _, id := range slices.Sorted(maps.Keys(l.Jobs)) {
			j := l.Jobs[id]
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, j.Spec.Tasks-1), 0, 20).Draw(t, "done") {
				l.Done(j, i, 0)
			}
			if !j.Complete() && rapid.Bool().Draw(t, "on a machine") {
				l.Assign(j, l.Machine("i-000001", "m", "a", true, 0), 5, 0)
			}
		}
		save()
		var rows []protocol.Item
		for key, item := range s.items {
			if strings.HasPrefix(key, PrefixJobs) {
				rows = append(rows, item)
			}
		}
		jobs, err := ParseJobs(rows)
		if err != nil {
			t.Fatal(err)
		}
		if len(jobs) != len(l.Jobs) {
			t.Fatalf("%d jobs restored of %d", len(jobs), len(l.Jobs))
		}
		for _, got := range jobs {
			want := l.Jobs[got.Spec.ID]
			if !reflect.DeepEqual(got.Spec, want.Spec) || got.Submitted != want.Submitted || got.doneCount != want.doneCount ||
				!reflect.DeepEqual(got.done, want.done) || got.Doubts["i-000001"] != want.machines["i-000001"] {
				t.Fatalf("restored %+v, saved %+v", got.Spec, want.Spec)
			}
		}
	})
}

func TestUnreadableRowsFailTheWhole(t *testing.T) {
	good := newJob(protocol.JobSpec{ID: "j-000001", Tasks: 3}, 0).record("1-1", nil)
	other := good
	other.Tasks = protocol.MaxTasks + 1
	for name, row := range map[string]protocol.Item{
		"not CBOR":          {Key: KeyJob("j-000001"), Value: []byte{0xff}},
		"under another key": {Key: KeyJob("j-000002"), Value: protocol.Encode(good)},
		"out of range":      {Key: KeyJob("j-000001"), Value: protocol.Encode(other)},
		"page of no job":    {Key: keyPage("j-000001", 1), Value: protocol.Encode(page{})},
	} {
		if jobs, err := ParseJobs([]protocol.Item{row}); err == nil {
			t.Errorf("%s: read as %v", name, jobs)
		}
	}
}

// A machine stays named as long as it may hold a task, and a start may follow
// only once the name is durable.
func TestMachinesAreNamedBeforeStarts(t *testing.T) {
	l := NewLedger(nil, 8<<10)
	heads := make([]uint64, Buckets)
	j := l.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 2}, 0, 0)
	build := func() *Save { return l.BuildSave("1-1", heads, SaveLimits{Ops: 12, Tasks: true}, 0) }
	l.Applied(build(), 1)
	m := l.Machine("i-000001", "m", "a", true, 0)
	a := l.Assign(j, m, 1, 0)
	if j.MayStartOn(m.ID) {
		t.Fatal("may start before the save")
	}
	saved := j.Saved()
	s := build()
	if j.MayStartOn(m.ID) {
		t.Fatal("may start while the save is on its way")
	}
	l.Applied(s, 2)
	select {
	case <-saved:
	default:
		t.Fatal("the save's end was not told")
	}
	if !j.MayStartOn(m.ID) {
		t.Fatal("may not start after the save")
	}
	l.Gone(a, 0)
	j.Changed(0, true)
	s = build() // leaves the name out
	if j.MayStartOn(m.ID) {
		t.Fatal("may start though the name is being taken out")
	}
	l.Refused(s, 0)
	if j.MayStartOn(m.ID) {
		t.Fatal("may start after a refused save that took the name out")
	}
}
