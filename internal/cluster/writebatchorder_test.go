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

// storedJob adds a job with the given priority and commits its acceptance.
func storedJob(state *State, id string, priority protocol.Priority) *Job {
	j := state.NewJob(protocol.JobSpec{ID: id, Tasks: 1, Priority: priority}, 0, 0)
	state.BatchCommitted(state.BuildWriteBatch("accept-"+id, make([]uint64, storage.Buckets), BatchLimits{}, 0), 1)
	return j
}

// When hundreds of small jobs were submitted at once, the names of their machines used up the
// write rate for half a minute, and high-priority jobs started after all of them.
func TestHighPriorityJobsAreWrittenBeforeABurstOfOthers(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	m := state.EnsureMachine("i-000001", "m", "a", true, 0)
	var burst []*Job
	for i := range 40 {
		burst = append(burst, storedJob(state, fmt.Sprintf("j-%06d", i), protocol.Low))
	}
	high := storedJob(state, "j-900000", protocol.High)
	for i, j := range burst {
		state.Assign(j, m, uint64(i+1), units.Second)
	}
	state.Assign(high, m, 100, 10*units.Second)
	state.NewJob(protocol.JobSpec{ID: "j-900001", Tasks: 1}, 0, 11*units.Second).MarkChanged(11*units.Second, true)
	batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, 12*units.Second)
	if got, want := batch.JobIDs()[:2], []string{"j-900001", "j-900000"}; !slices.Equal(got, want) {
		t.Errorf("written first: %v, want the new job and then the high-priority one, %v", got, want)
	}
}

// The head start of high-priority jobs is bounded: a change of another job is written first once
// it has waited longer than that.
func TestHighPriorityJobsDoNotStarveOthers(t *testing.T) {
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

// A batch contains at most BatchLimits.MaxChanges changes, so that the write rate is kept.
func TestWriteBatchStaysWithinMaxChanges(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	for i := range 10 {
		state.NewJob(protocol.JobSpec{ID: fmt.Sprintf("j-%06d", i), Tasks: 1}, 0, 0)
	}
	for _, limit := range []int{1, 4, 7} {
		batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{MaxChanges: limit}, 0)
		if len(batch.Txn.Then) != limit {
			t.Errorf("%d changes, want %d", len(batch.Txn.Then), limit)
		}
		state.BatchConflicted(batch, 0)
	}
}

// If the leader has accepted a job that is also in the pending-submission queue, a background
// write deletes the submission. Hundreds of these deletions after a burst must not delay urgent
// writes, and must not write the main records again.
func TestJobAcceptedTwiceIsRemovedFromThePendingQueue(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	j := storedJob(state, "j-000001", protocol.Low)
	state.AddPendingSubmission(PendingSubmission{Spec: j.Spec}, units.Second)
	if batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, units.Second); batch != nil {
		t.Fatalf("the deletion is not left to a background write: %v", batch.Txn.Then)
	}
	batch := state.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{Background: true}, units.Second)
	if batch == nil || len(batch.Txn.Then) != 1 || batch.Txn.Then[0].Delete != storage.KeyPending("j-000001") {
		t.Fatalf("got batch %+v, want only the deletion of the submission", batch)
	}
	state.BatchCommitted(batch, 2)
	if batch := state.BuildWriteBatch("1-2", make([]uint64, storage.Buckets), BatchLimits{Background: true}, 2*units.Second); batch != nil {
		t.Errorf("the submission is deleted again: %v", batch.Txn.Then)
	}
	// The batch that accepts a job from the queue also deletes its submission.
	state.AddPendingSubmission(PendingSubmission{Spec: protocol.JobSpec{ID: "j-000002", Tasks: 1}}, units.Second)
	batch = state.BuildWriteBatch("1-3", make([]uint64, storage.Buckets), BatchLimits{}, units.Second)
	if batch == nil || len(batch.Txn.Then) != 2 || batch.Txn.Then[1].Delete != storage.KeyPending("j-000002") {
		t.Fatalf("got batch %+v, want the acceptance and the deletion of the submission", batch)
	}
}
