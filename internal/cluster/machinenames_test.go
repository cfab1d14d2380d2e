package cluster

import (
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// If a task started on a machine that no stored record names, a later leader would not know of
// it and start the task a second time. So a start must wait until the name is durable, and must
// not follow a write that omits the name, committed or not.
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
	if j.MachineNameIsDurable(m.ID) {
		t.Fatal("may start before the batch is built")
	}
	durable := j.Durable()
	batch := build()
	if j.MachineNameIsDurable(m.ID) {
		t.Fatal("may start while the batch is in flight")
	}
	state.BatchCommitted(batch, 2)
	select {
	case <-durable:
	default:
		t.Fatal("the waiter was not woken by the committed batch")
	}
	if !j.MachineNameIsDurable(m.ID) {
		t.Fatal("may not start after the batch was committed")
	}
	state.RemoveAttempt(a, 0)
	state.TaskDone(j, 0, 0)
	batch = build() // omits the name
	if j.MachineNameIsDurable(m.ID) {
		t.Fatal("may start though the name is being removed")
	}
	state.BatchConflicted(batch, 0)
	if j.MachineNameIsDurable(m.ID) {
		t.Fatal("may start after a conflicted batch that removed the name")
	}
}

// A page in FormatV1 has no write ID. Unless the main record is written with it, a leader
// that got no response to a committed batch does not recognise the batch as its own.
func TestV1PageIsWrittenWithMainRecord(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	bucketVersions := make([]uint64, storage.Buckets)
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 40_000}, 0, 0)
	state.BatchCommitted(state.BuildWriteBatch("1-1", bucketVersions, BatchLimits{}, 0), 1)
	state.TaskDone(j, 20_000, 0)
	batch := state.BuildWriteBatch("1-2", bucketVersions, BatchLimits{Background: true}, 10)
	if batch.ProbeKey() != storage.KeyJob("j-000001") || len(batch.Txn.Then) != 2 {
		t.Errorf("probe key %s, %d changes", batch.ProbeKey(), len(batch.Txn.Then))
	}
}
