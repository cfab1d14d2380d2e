package persister

import (
	"context"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// arrives puts a job into the inbox, as another controller does.
func arrives(t *testing.T, s *standin.State, id string) {
	t.Helper()
	if _, ok := s.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: testSpec(id)})); !ok {
		t.Fatalf("%s is not taken into the inbox", id)
	}
}

// After a burst the inbox held hundreds of jobs, and reading them all each second took
// much of the leader's processor. Each job is read once, unless something went wrong.
func TestPendingQueueIsReadByItsChanges(t *testing.T) {
	s := standin.NewState()
	p, clock := restoredPersister(t, s, 1)
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
	arrives(t, s, "j-000001")
	expect("at first", first)
	expect("nothing new")
	arrives(t, s, "j-000002")
	arrives(t, s, "j-000003")
	s.Apply(protocol.Txn{Then: []protocol.Change{{Delete: second}}})
	expect("one came and went, one came", third)
	s.Put("other/key", protocol.Encode("x"))
	expect("a change elsewhere")
	p.Ingester.pendingUncleared.Store(true)
	expect("something was not cleared", first, third)
	expect("and then no more")
	clock.Now += pendingResyncInterval
	expect("once in a while", first, third)
	ended, end := context.WithCancel(t.Context())
	end()
	arrives(t, s, "j-000004")
	if items, err := watch.next(ended, p.Ingester); err == nil {
		t.Fatalf("without an answer: %v", items)
	}
	expect("after an outage", storage.KeyPending("j-000004"))
}

// A job that is over is taken out of the inbox, though only the save that would have
// accepted it once more tells so.
func TestPendingQueueOfFinishedJobsIsCleared(t *testing.T) {
	s := standin.NewState()
	p, clock := restoredPersister(t, s, 1)
	over := storage.TerminalRecord{Stage: protocol.StageDone, Tasks: 2, Done: 2}
	arrives(t, s, "j-000001")
	s.Put(storage.KeyTerminal("j-000001"), protocol.Encode(over))
	var watch pendingWatcher
	for range 2 {
		items, err := watch.next(t.Context(), p.Ingester)
		if err != nil {
			t.Fatal(err)
		}
		p.Ingester.Ingest(t.Context(), items)
		if save := p.nextBatch(); save != nil {
			p.CommitBatch(t.Context(), save)
		}
		clock.Now += units.Second
	}
	if left := s.Keys(storage.PrefixPending); len(left) != 0 {
		t.Errorf("left in the inbox: %v", left)
	}
}
