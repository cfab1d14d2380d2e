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

// acceptWithoutLeader puts a job into the queue of pending submissions, as another controller
// does.
func acceptWithoutLeader(t *testing.T, server *fake.KVServer, id string) {
	t.Helper()
	if _, ok := server.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *fake.JobSpec(id)})); !ok {
		t.Fatalf("%s is not put into the queue", id)
	}
}

// After a burst the queue held hundreds of jobs, and reading them all each second took much of
// the leader's processor. Each job is read once, unless something went wrong.
func TestPendingQueueIsReadIncrementally(t *testing.T) {
	server := fake.NewKVServer()
	p, clock := newRestoredPersister(t, server, 1)
	var watch pendingWatcher
	expect := func(what string, want ...string) {
		t.Helper()
		items, err := watch.next(t.Context(), p.Ingester)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		var got []string
		for _, item := range items {
			got = append(got, item.Key)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	first, second, third := storage.KeyPending("j-000001"), storage.KeyPending("j-000002"), storage.KeyPending("j-000003")
	acceptWithoutLeader(t, server, "j-000001")
	expect("at first", first)
	expect("nothing new")
	acceptWithoutLeader(t, server, "j-000002")
	acceptWithoutLeader(t, server, "j-000003")
	server.Apply(protocol.Txn{Then: []protocol.Change{{Delete: second}}})
	expect("one came and went, one came", third)
	server.Put("other/key", protocol.Encode("x"))
	expect("a change elsewhere")
	p.Ingester.resyncNeeded.Store(true)
	expect("something was not cleared", first, third)
	expect("and then no more")
	clock.Now += pendingResyncInterval
	expect("once in a while", first, third)
	ended, end := context.WithCancel(t.Context())
	end()
	acceptWithoutLeader(t, server, "j-000004")
	if items, err := watch.next(ended, p.Ingester); err == nil {
		t.Fatalf("without an answer: %v", items)
	}
	expect("after an outage", storage.KeyPending("j-000004"))
}

// A finished job is removed from the queue, though only the batch that would have accepted it
// once more shows that it is finished.
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
