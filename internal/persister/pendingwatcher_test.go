package persister

import (
	"context"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// acceptWithoutLeader adds a job to the pending-submission queue, as a controller does that
// cannot reach a leader.
func acceptWithoutLeader(t *testing.T, server *fake.KVServer, id string) {
	t.Helper()
	if _, ok := server.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *fake.JobSpec(id)})); !ok {
		t.Fatalf("%s was not added to the queue", id)
	}
}

// Each pending submission is read once between resyncs. After a burst the queue can contain hundreds
// of jobs, and reading all of them each second takes much of the leader's CPU time.
func TestPendingQueueIsReadIncrementally(t *testing.T) {
	server := fake.NewKVServer()
	p, clock := newRestoredPersister(t, server, 1)
	var watch pendingWatcher
	expect := func(step string, want ...string) {
		t.Helper()
		items, err := watch.next(t.Context(), p.Ingester)
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		var got []string
		for _, item := range items {
			got = append(got, item.Key)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", step, got, want)
		}
	}
	first, second, third := storage.KeyPending("j-000001"), storage.KeyPending("j-000002"), storage.KeyPending("j-000003")
	acceptWithoutLeader(t, server, "j-000001")
	expect("first read", first)
	expect("no change")
	acceptWithoutLeader(t, server, "j-000002")
	acceptWithoutLeader(t, server, "j-000003")
	server.Apply(protocol.Txn{Then: []protocol.Change{{Delete: second}}})
	expect("one added and deleted, one added", third)
	server.Put("other/key", protocol.Encode("x"))
	expect("change outside the queue")
	p.Ingester.resyncNeeded.Store(true)
	expect("resync needed", first, third)
	expect("no change after the resync")
	clock.Now += pendingResyncInterval
	expect("resync interval elapsed", first, third)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	acceptWithoutLeader(t, server, "j-000004")
	if items, err := watch.next(cancelled, p.Ingester); err == nil {
		t.Fatalf("request with a cancelled context returned %v without an error", items)
	}
	expect("after a failed request", storage.KeyPending("j-000004"))
}

// A finished job is removed from the queue even if the leader learns that it is finished only from the
// version conflict of the batch that would accept it again.
func TestFinishedJobIsRemovedFromPendingQueue(t *testing.T) {
	server := fake.NewKVServer()
	p, clock := newRestoredPersister(t, server, 1)
	terminal := storage.TerminalRecord{Stage: protocol.StageDone, Tasks: 2, Done: 2}
	acceptWithoutLeader(t, server, "j-000001")
	server.Put(storage.KeyTerminal("j-000001"), protocol.Encode(terminal))
	var watch pendingWatcher
	for range 2 {
		items, err := watch.next(t.Context(), p.Ingester)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Ingester.Ingest(t.Context(), items); err != nil {
			t.Fatal(err)
		}
		if batch := p.nextBatch(); batch != nil {
			p.CommitBatch(t.Context(), batch)
		}
		clock.Now += units.Second
	}
	if left := server.Keys(storage.PrefixPending); len(left) != 0 {
		t.Errorf("left in the queue: %v", left)
	}
}
