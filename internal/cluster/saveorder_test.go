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
func storedJob(l *State, id string, priority protocol.Priority) *Job {
	j := l.NewJob(protocol.JobSpec{ID: id, Tasks: 1, Priority: priority}, 0, 0)
	l.BatchCommitted(l.BuildWriteBatch("accept-"+id, make([]uint64, storage.Buckets), BatchLimits{}, 0), 1)
	return j
}

// When hundreds of small jobs came at once, the names of their machines filled the rate of
// writes for half a minute, and urgent jobs began after all of them.
func TestUrgentJobsAreWrittenBeforeABurstOfOthers(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	m := l.EnsureMachine("i-000001", "m", "a", true, 0)
	var burst []*Job
	for i := range 40 {
		burst = append(burst, storedJob(l, fmt.Sprintf("j-%06d", i), protocol.Low))
	}
	urgent := storedJob(l, "j-900000", protocol.High)
	for i, j := range burst {
		l.Assign(j, m, uint64(i+1), units.Second)
	}
	l.Assign(urgent, m, 100, 10*units.Second)
	l.NewJob(protocol.JobSpec{ID: "j-900001", Tasks: 1}, 0, 11*units.Second).MarkChanged(11*units.Second, true)
	s := l.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, 12*units.Second)
	if got, want := s.JobIDs()[:2], []string{"j-900001", "j-900000"}; !slices.Equal(got, want) {
		t.Errorf("saved first: %v, want the one whose user waits and then the urgent one, %v", got, want)
	}
}

// The head start is bounded: a change of a job that is not urgent goes first once it has
// waited that much longer.
func TestUrgentJobsDoNotStarveOthers(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	m := l.EnsureMachine("i-000001", "m", "a", true, 0)
	low, high := storedJob(l, "j-000002", protocol.Low), storedJob(l, "j-000001", protocol.High)
	l.Assign(low, m, 1, units.Second)
	l.Assign(high, m, 2, units.Second+priorityHeadStart+1)
	s := l.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, 2*priorityHeadStart)
	if got, want := s.JobIDs(), []string{"j-000002", "j-000001"}; !slices.Equal(got, want) {
		t.Errorf("saved in the order %v, want %v", got, want)
	}
}

// A save holds no more changes than the rate of writes has room for.
func TestWriteBatchKeepsWithinTheChangesAllowed(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	for i := range 10 {
		l.NewJob(protocol.JobSpec{ID: fmt.Sprintf("j-%06d", i), Tasks: 1}, 0, 0)
	}
	for _, limit := range []int{1, 4, 7} {
		s := l.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{MaxChanges: limit}, 0)
		if len(s.Txn.Then) != limit {
			t.Errorf("%d changes with room for %d", len(s.Txn.Then), limit)
		}
		l.BatchRefused(s, 0)
	}
}

// A job that was accepted by the leader and in the inbox as well is only taken out of there
// again: without a write of its own record, and when nobody waits for writes.
func TestJobAcceptedTwiceIsRemovedFromThePendingQueue(t *testing.T) {
	l := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	j := storedJob(l, "j-000001", protocol.Low)
	l.AddPending(PendingSubmission{Spec: j.Spec}, units.Second)
	if s := l.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{}, units.Second); s != nil {
		t.Fatalf("it is written while there is no room for what nobody waits for: %v", s.Txn.Then)
	}
	s := l.BuildWriteBatch("1-1", make([]uint64, storage.Buckets), BatchLimits{Background: true}, units.Second)
	if s == nil || len(s.Txn.Then) != 1 || s.Txn.Then[0].Delete != storage.KeyPending("j-000001") {
		t.Fatalf("the save: %+v", s)
	}
	l.BatchCommitted(s, 2)
	if s := l.BuildWriteBatch("1-2", make([]uint64, storage.Buckets), BatchLimits{Background: true}, 2*units.Second); s != nil {
		t.Errorf("it is taken out again: %v", s.Txn.Then)
	}
	// One that only the inbox has is accepted by the same save that takes it out.
	l.AddPending(PendingSubmission{Spec: protocol.JobSpec{ID: "j-000002", Tasks: 1}}, units.Second)
	s = l.BuildWriteBatch("1-3", make([]uint64, storage.Buckets), BatchLimits{}, units.Second)
	if s == nil || len(s.Txn.Then) != 2 || s.Txn.Then[1].Delete != storage.KeyPending("j-000002") {
		t.Fatalf("the save of one from the inbox: %+v", s)
	}
}
