package cluster

import (
	"fmt"
	"slices"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// storedJob is a job of a priority whose acceptance is durable.
func storedJob(state *State, id string, priority protocol.Priority) *Job {
	j := state.NewJob(protocol.JobSpec{ID: id, Tasks: 1, Priority: priority}, 0, 0)
	state.BatchCommitted(state.BuildWriteBatch("accept-"+id, make([]uint64, storage.Buckets), BatchLimits{}, 0), 1)
	return j
}

// When hundreds of small jobs came at once, the names of their machines filled the rate of
// writes for half a minute, and urgent jobs began after all of them.
func TestUrgentJobsAreWrittenBeforeABurstOfOthers(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	m := state.EnsureMachine("i-000001", "m", "a", true, 0)
	var burst []*Job
	for i := range 40 {
		burst = append(burst, storedJob(state, fmt.Sprintf("j-%06d", i), protocol.Low))
	}
	urgent := storedJob(state, "j-900000", protocol.High)
	for i, j := range burst {
		state.Assign(j, m, uint64(i+1), units.Second)
	}
	state.Assign(urgent, m, 100, 10*units.Second)
	state.NewJob(protocol.JobSpec{ID: "j-900001", Tasks: 1}, 0, 11*units.Second).MarkChanged(11*units.Second, true)
	batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, 12*units.Second)
	if got, want := batch.JobIDs()[:2], []string{"j-900001", "j-900000"}; !slices.Equal(got, want) {
		t.Errorf("written first: %v, want the one whose user waits and then the urgent one, %v", got, want)
	}
}

// The head start is bounded: a change of a job that is not urgent goes first once it has
// waited that much longer.
func TestUrgentJobsDoNotStarveOthers(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	m := state.EnsureMachine("i-000001", "m", "a", true, 0)
	low, high := storedJob(state, "j-000002", protocol.Low), storedJob(state, "j-000001", protocol.High)
	state.Assign(low, m, 1, units.Second)
	state.Assign(high, m, 2, units.Second+priorityHeadStart+1)
	batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, 2*priorityHeadStart)
	if got, want := batch.JobIDs(), []string{"j-000002", "j-000001"}; !slices.Equal(got, want) {
		t.Errorf("written in the order %v, want %v", got, want)
	}
}

// A batch holds no more changes than the rate of writes has space for.
func TestWriteBatchKeepsWithinTheChangesAllowed(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	for i := range 10 {
		state.NewJob(protocol.JobSpec{ID: fmt.Sprintf("j-%06d", i), Tasks: 1}, 0, 0)
	}
	for _, limit := range []int{1, 4, 7} {
		batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{MaxChanges: limit}, 0)
		if len(batch.Txn.Then) != limit {
			t.Errorf("%d changes with space for %d", len(batch.Txn.Then), limit)
		}
		state.BatchConflicted(batch, 0)
	}
}

// A job that was accepted by the leader and is in the pending-submission queue as well is only
// removed from there: without a write of its own record, and when nobody waits for writes.
func TestJobAcceptedTwiceIsRemovedFromThePendingQueue(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	j := storedJob(state, "j-000001", protocol.Low)
	state.AddPendingSubmission(PendingSubmission{Spec: j.Spec}, units.Second)
	if batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, units.Second); batch != nil {
		t.Fatalf("it is written while there is no space for what nobody waits for: %v", batch.Txn.Then)
	}
	batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{Background: true}, units.Second)
	if batch == nil || len(batch.Txn.Then) != 1 || batch.Txn.Then[0].Delete != storage.KeyPending("j-000001") {
		t.Fatalf("the batch: %+v", batch)
	}
	state.BatchCommitted(batch, 2)
	if batch := state.BuildWriteBatch("1-2", make([]uint64, storage.Buckets), BatchLimits{Background: true}, 2*units.Second); batch != nil {
		t.Errorf("it is removed again: %v", batch.Txn.Then)
	}
	// One that only the queue has is accepted by the same batch that removes it.
	state.AddPendingSubmission(PendingSubmission{Spec: protocol.JobSpec{ID: "j-000002", Tasks: 1}}, units.Second)
	batch = state.BuildWriteBatch("1-3", make([]uint64, storage.Buckets), BatchLimits{}, units.Second)
	if batch == nil || len(batch.Txn.Then) != 2 || batch.Txn.Then[1].Delete != storage.KeyPending("j-000002") {
		t.Fatalf("the batch of one from the queue: %+v", batch)
	}
}
