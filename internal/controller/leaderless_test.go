package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// A node that reaches no leader takes a job by itself. From then on nobody says
// that it is unknown, or anything older than what its user was told: not this
// node, and not a leader, whether or not it has taken the job in.
func TestJobsAreAcceptedWithoutALeader(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	store.Put(storage.KeyTerminal("j-000009"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	c, _ := newRefusedController(t, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const id = "j-000001"
	for _, want := range []int{http.StatusCreated, http.StatusOK} {
		if r := c.submit(ctx, encodeSubmission(modelSpec(id), "team"), true); r.Status != want || decodeState(t, r).Stage != protocol.StagePending {
			t.Fatalf("submission: %d %s, want %d", r.Status, r.Body, want)
		}
	}
	if r := c.submit(ctx, encodeSubmission(modelSpec("j-000009"), "team"), true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Errorf("a job that is over: %d %s", r.Status, r.Body)
	}
	// Only a leader refuses for good: it knows whether the job was accepted before.
	if r := c.submit(ctx, encodeSubmission(modelSpec("j-000002"), "nobody"), true); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("an impossible job: %d", r.Status)
	}
	if r := c.submit(ctx, encodeSubmission(modelSpec("j-000003"), "team"), false); r.Status != http.StatusServiceUnavailable {
		t.Errorf("passed on by another node: %d", r.Status)
	}
	if r := c.poll(ctx, id, true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StagePending {
		t.Errorf("poll: %d %s", r.Status, r.Body)
	}
	if r := c.poll(ctx, "j-000003", true); r.Status != http.StatusNotFound {
		t.Errorf("poll of an unknown job: %d", r.Status)
	}

	leader := newStoredLeader(t, 1, store)
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	if r := leader.Poll(ctx, id); r.Status != http.StatusOK && r.Status != http.StatusServiceUnavailable {
		t.Errorf("a leader that has not taken it in: %d", r.Status)
	}
	if r := leader.Cancel(ctx, id); r.Status != http.StatusServiceUnavailable {
		t.Errorf("cancellation before it is taken in: %d", r.Status)
	}
	unknown := modelSpec(id)
	unknown.Team = "nobody"
	if r := leader.Submit(ctx, unknown); r.Status == http.StatusUnprocessableEntity {
		t.Error("the repeat of an accepted job is refused")
	}
	go leader.persister.Run(ctx)
	go leader.ingester.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); len(store.Keys(storage.PrefixPending)) > 0; {
		if time.Now().After(deadline) {
			t.Fatal("it stays in the inbox")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if r := leader.Cancel(ctx, id); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
		t.Errorf("cancellation: %d %s", r.Status, r.Body)
	}
	if r := c.submit(ctx, encodeSubmission(modelSpec(id), "team"), true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
		t.Errorf("repeat of a cancelled job: %d %s", r.Status, r.Body)
	}
}

// A job is accepted without a leader by a commit that takes long. By then it may have been
// taken in and cancelled, so its state is read again before the user is told of it.
func TestAcceptanceThatTookLongIsReadAgain(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	c, clock := newRefusedController(t, store)
	const id = "j-000001"
	store.Refuse = func(_, path string) bool {
		if path == protocol.PathCommit {
			clock.Now += answer.MaxAnswerAge + units.Millisecond
		}
		return false
	}
	a := c.submit(t.Context(), encodeSubmission(modelSpec(id), "team"), true)
	if got := c.gate().Check(a); got.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StagePending {
		t.Errorf("%d %s", got.Status, got.Body)
	}
	if len(store.Keys(storage.PrefixPending)) != 1 {
		t.Error("it is not in the inbox")
	}
}

// What was put into the inbox late, for a job that is over by then, is cleared
// away and never answered for: the job's final state stands.
func TestLatePendingSubmissionOfAFinishedJob(t *testing.T) {
	store := standin.NewState()
	spec := modelSpec("j-000001")
	for _, c := range cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec}).Then {
		store.Put(c.Set, c.Value)
	}
	store.Put(storage.KeyTerminal(spec.ID), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newStoredLeader(t, 1, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	go leader.persister.Run(ctx)
	go leader.ingester.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); len(store.Keys(storage.PrefixPending)) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it stays in the inbox")
		}
		if r := leader.Poll(ctx, spec.ID); r.Status == http.StatusOK && decodeState(t, r).Stage != protocol.StageDone || r.Status == http.StatusNotFound {
			t.Fatalf("poll: %d %s", r.Status, r.Body)
		}
	}
	if live := store.Keys("job/"); len(live) > 0 {
		t.Errorf("live again: %v", live)
	}
}
