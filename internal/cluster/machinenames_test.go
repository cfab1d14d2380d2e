package cluster

import (
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// A machine stays named as long as it may hold a task, and a start may follow
// only once the name is durable.
func TestMachinesAreRecordedBeforeStarts(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	bucketVersions := make([]uint64, storage.Buckets)
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 2}, 0, 0)
	build := func() *WriteBatch {
		return state.BuildWriteBatch("1-1", bucketVersions, BatchLimits{Background: true}, 0)
	}
	state.BatchCommitted(build(), 1)
	m := state.EnsureMachine("i-000001", "m", "a", true, 0)
	a := state.Assign(j, m, 1, 0)
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start before the batch is built")
	}
	durable := j.Durable()
	batch := build()
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start while the batch is in flight")
	}
	state.BatchCommitted(batch, 2)
	select {
	case <-durable:
	default:
		t.Fatal("the waiter was not woken by the committed batch")
	}
	if !j.MachineIsDurable(m.ID) {
		t.Fatal("may not start after the batch was committed")
	}
	state.AttemptGone(a, 0)
	state.TaskDone(j, 0, 0)
	batch = build() // leaves the name out
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start though the name is being removed")
	}
	state.BatchConflicted(batch, 0)
	if j.MachineIsDurable(m.ID) {
		t.Fatal("may start after a refused batch that removed the name")
	}
}

// A page in the old format does not say which write batch it belongs to, so the job's own
// record goes with it: a batch that was carried out and not answered must be recognised,
// or its leader mistakes it for another's.
func TestOldPagesAreWrittenWithTheirJob(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	bucketVersions := make([]uint64, storage.Buckets)
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 40_000}, 0, 0)
	state.BatchCommitted(state.BuildWriteBatch("1-1", bucketVersions, BatchLimits{}, 0), 1)
	state.TaskDone(j, 20_000, 0)
	batch := state.BuildWriteBatch("1-2", bucketVersions, BatchLimits{Background: true}, 10)
	if batch.ProbeKey() != storage.KeyJob("j-000001") || len(batch.Txn.Then) != 2 {
		t.Errorf("recognised by %s, %d changes", batch.ProbeKey(), len(batch.Txn.Then))
	}
}
