package cluster

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/protocol"
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
		Kind:     protocol.JobKind(rapid.IntRange(0, 2).Draw(t, "kind")),
		Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Tasks:    rapid.SampledFrom([]int{1, 7, 8, 9, 300, 16384, 16385, 40000, protocol.MaxTasks}).Draw(t, "tasks"),
		Request: units.Resources{
			CPU:    units.Amount(amount.Draw(t, "cpu")),
			GPU:    units.Amount(amount.Draw(t, "gpu")),
			Memory: units.Amount(amount.Draw(t, "memory")),
		},
		InstanceTypes:      rapid.SampledFrom([][]string{nil, {"g8", "g16"}}).Draw(t, "types"),
		Zone:               text.Draw(t, "zone"),
		ZoneAffinity:       rapid.Bool().Draw(t, "zone affinity"),
		ZoneSpread:         rapid.Bool().Draw(t, "zone spread"),
		AllowSpot:          rapid.Bool().Draw(t, "spot"),
		Image:              text.Draw(t, "image"),
		ImageSize:          units.Amount(amount.Draw(t, "image size")),
		Estimate:           units.Micros(amount.Draw(t, "estimate")),
		CheckpointInterval: units.Micros(amount.Draw(t, "checkpoint interval")),
		CheckpointDuration: units.Micros(amount.Draw(t, "checkpoint duration")),
		Deadline:           units.Micros(amount.Draw(t, "deadline")),
	}
}

// restoreModel applies the write batches of a state to a fake store, and checks a restore from
// the store after each of them.
type restoreModel struct {
	t              *rapid.T
	kvLimits       config.KVLimits
	state          *State
	store          *store
	bucketVersions []uint64
	limits         config.KVLimits // currently in force
	format         storage.Format
	batches        int
	attempts       uint64
}

// For any jobs, completions and placements, a restore after any write batch reads the state that
// was written, in FormatV1, in FormatV2 and during the migration: every machine that
// may hold a task is named, no durable completion is lost, and no record or transaction exceeds
// its limit.
func TestWrittenJobsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := config.KVLimits{ValueKB: 16, TxnOps: 12}
		now.Next = rapid.SampledFrom([]*config.KVLimits{nil, {
			ValueKB: 2,
			TxnOps:  4,
		}, {ValueKB: 1, TxnOps: 3}}).Draw(t, "next limits")
		m := &restoreModel{
			t:              t,
			kvLimits:       now,
			state:          NewState([]config.Team{{Name: "team"}}, now),
			store:          &store{items: map[string]protocol.Item{}},
			bucketVersions: make([]uint64, storage.Buckets),
			limits:         now,
			format:         storage.FormatV1,
		}
		steps := rapid.IntRange(1, 3).Draw(t, "steps")
		for step := range 2 * steps {
			if step == steps {
				m.upgrade()
			}
			m.submit()
			m.write(rapid.IntRange(1, 30).Draw(t, "batches"))
			m.runTasks()
			m.write(rapid.IntRange(1, 30).Draw(t, "batches"))
		}
		m.write(10_000)
		m.checkMigrated()
	})
}

// upgrade raises the format of the records and puts the next limits into force.
func (m *restoreModel) upgrade() {
	m.state.UpgradeFormat(storage.FormatV2, 1)
	m.format, m.limits = storage.FormatV2, m.kvLimits.Lowest()
	m.limits.ValueKB, m.limits.TxnOps = m.kvLimits.Lowest().ValueKB, m.kvLimits.Lowest().TxnOps
}

// submit adds some random jobs that fit into the records of every format.
func (m *restoreModel) submit() {
	for range rapid.IntRange(1, 4).Draw(m.t, "jobs") {
		spec := drawSpec(m.t)
		if m.state.Jobs[spec.ID] == nil && m.store.items[storage.KeyTerminal(spec.ID)].Version == 0 && storage.FitsRecords(&spec, m.format, m.kvLimits) && storage.FitsRecords(&spec, storage.NewestFormat, m.kvLimits) {
			m.state.NewJob(spec, units.Micros(rapid.Int64Range(0, 1e15).Draw(m.t, "submitted")), 0)
		}
	}
}

// latestTime is a time of day with the most digits.
const latestTime = units.Micros(9e15)

// runTasks completes some tasks of each job, assigns others and removes some of the attempts. It cancels
// some jobs, and the leases of some machines expire.
func (m *restoreModel) runTasks() {
	for _, id := range slices.Sorted(maps.Keys(m.state.Jobs)) {
		j := m.state.Jobs[id]
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, j.Spec.Tasks-1), 0, 20).Draw(m.t, "done") {
			m.state.TaskDone(j, i, 0)
		}
		if rapid.IntRange(0, 9).Draw(m.t, "all done") == 0 {
			for i := range j.Spec.Tasks {
				m.state.TaskDone(j, i, 0)
			}
		}
		for range rapid.SampledFrom([]int{0, 1, 5, 400}).Draw(m.t, "starts") {
			machine := m.state.EnsureMachine(fmt.Sprintf("i-%06d", rapid.IntRange(1, 900).Draw(m.t, "machine")), "m", "a", true, 0)
			if m.attempts++; j.Accepted() && j.CanRecordMachine(machine.ID) {
				m.state.Assign(j, machine, m.attempts, 0)
			}
		}
		for _, a := range j.LiveAttempts {
			if a.Number%3 == 0 {
				m.state.RemoveAttempt(a, 0)
			}
		}
		if j.Accepted() && !j.Complete() && rapid.IntRange(0, 9).Draw(m.t, "cancelled") == 0 {
			j.Cancel(latestTime, 0)
		}
	}
	for _, machine := range m.state.SortedMachines() {
		for _, a := range machine.Attempts {
			if a.Job.MachineNameIsDurable(machine.ID) {
				a.Stage = Sent
			}
		}
		if rapid.IntRange(0, 99).Draw(m.t, "lease expired") == 0 {
			m.state.ExpireLease(machine, 0)
		}
	}
}

// write builds batches until nothing is due, up to the given number. Some of them conflict.
func (m *restoreModel) write(maxBatches int) {
	for range maxBatches {
		m.batches++
		b := m.state.BuildWriteBatch(fmt.Sprintf("1-%d", m.batches), m.bucketVersions, BatchLimits{Background: true}, 1)
		if b == nil {
			return
		}
		if rapid.IntRange(0, 5).Draw(m.t, "conflict") == 0 {
			m.state.BatchConflicted(b, 1)
			continue
		}
		revision := m.store.apply(m.t, b.Txn, m.limits)
		m.checkProbe(b)
		m.state.BatchCommitted(b, revision)
		m.checkRestore()
	}
}

// checkProbe checks that the record of the batch's probe key contains the batch's ID.
func (m *restoreModel) checkProbe(b *WriteBatch) {
	key := b.ProbeKey()
	if key == "" {
		return
	}
	var record struct {
		WriteID string `cbor:"save"`
	}
	if err := protocol.Decode(m.store.items[key].Value, &record); err != nil || record.WriteID != b.ID {
		m.t.Fatalf("%s has write ID %q, want %q, %v", key, record.WriteID, b.ID, err)
	}
}

// checkRestore checks the jobs that a new leader would restore. In FormatV1 it also checks
// what a leader of the legacy version would restore.
func (m *restoreModel) checkRestore() {
	jobs, orphans, err := ParseJobs(m.store.jobItems())
	if err != nil {
		m.t.Fatal(err)
	}
	var legacy map[string]*fake.LegacyJob
	if m.format == storage.FormatV1 { // the next leader can be of the legacy version
		if legacy, err = fake.ParseLegacyJobs(m.store.jobItems()); err != nil || len(orphans) > 0 {
			m.t.Fatal(err, orphans)
		}
	}
	for id := range orphans {
		if _, ended := m.store.items[storage.KeyTerminal(id)]; !ended {
			m.t.Fatalf("%s has parts but neither a main record nor a terminal record", id)
		}
	}
	for _, got := range jobs {
		m.checkJob(got, legacy)
	}
}

// checkJob checks a restored job. legacy are the jobs as restored by the legacy version, nil if
// it cannot read the format.
func (m *restoreModel) checkJob(got *Job, legacy map[string]*fake.LegacyJob) {
	id := got.Spec.ID
	want, known := m.state.Jobs[id]
	if !known {
		m.t.Fatalf("restored %s, which is not in the state", id)
	}
	if !reflect.DeepEqual(got.Spec, want.Spec) || got.Submitted != want.Submitted {
		m.t.Fatalf("restored %+v, written %+v", got.Spec, want.Spec)
	}
	if got.Cancelled && got.cancelRequested != latestTime {
		m.t.Fatalf("%s: time of the cancellation restored as %v", id, got.cancelRequested)
	}
	for machine := range m.state.Machines {
		if want.MachineNameIsDurable(machine) && !got.UnreconciledMachines[machine] {
			m.t.Fatalf("%s may start on %s, which no stored record names", id, machine)
		}
		if want.ExpiredMachines[machine] && !got.UnreconciledMachines[machine] {
			m.t.Fatalf("%s may have tasks on %s, whose lease expired and which no stored record names", id, machine)
		}
		if legacy != nil && want.MachineNameIsDurable(machine) && !slices.Contains(legacy[id].Machines, machine) {
			m.t.Fatalf("%s may start on %s, which the legacy version does not restore", id, machine)
		}
	}
	for i := range want.Spec.Tasks {
		if want.DoneIsDurable(i) != got.IsDone(i) && (want.DoneIsDurable(i) || !want.IsDone(i)) {
			m.t.Fatalf("%s: task %d is done %v, durably %v, restored %v", id, i, want.IsDone(i), want.DoneIsDurable(i), got.IsDone(i))
		}
	}
}

// checkMigrated checks that all jobs are in FormatV2 and no record in FormatV1 is left.
func (m *restoreModel) checkMigrated() {
	jobs, _, _ := ParseJobs(m.store.jobItems())
	if len(jobs) != len(m.state.Jobs) {
		m.t.Fatalf("%d jobs restored of %d", len(jobs), len(m.state.Jobs))
	}
	for _, j := range jobs {
		if j.records.format != storage.FormatV2 {
			m.t.Fatalf("%s is still in FormatV1", j.Spec.ID)
		}
	}
	for _, item := range m.store.jobItems() {
		if strings.Contains(item.Key, "/p") {
			m.t.Fatalf("%s is left in FormatV1", item.Key)
		}
	}
}
