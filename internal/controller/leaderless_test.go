package controller

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// A controller that reaches no leader accepts a job without one. From then on neither this controller
// nor a leader answers that the job is unknown or in an older state than its user has been given,
// whether or not the leader has ingested the job.
func TestJobsAreAcceptedWithoutALeader(t *testing.T) {
	store := fake.NewKVServer()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	store.Put(storage.KeyTerminal("j-000009"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	c, _ := newRefusedController(t, store)
	ctx := t.Context()
	for _, want := range []int{http.StatusCreated, http.StatusOK} {
		if a := c.submit(ctx, encodeSubmission(fake.JobSpec(testJob), "team"), fromUser); a.Status != want || decodeState(t, a).Stage != protocol.StagePending {
			t.Fatalf("submission: %d %s, want %d", a.Status, a.Body, want)
		}
	}
	if a := c.submit(ctx, encodeSubmission(fake.JobSpec("j-000009"), "team"), fromUser); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageDone {
		t.Errorf("submission of a job in a terminal state: %d %s", a.Status, a.Body)
	}
	// Only a leader rejects permanently: it knows whether the job was accepted before.
	if a := c.submit(ctx, encodeSubmission(fake.JobSpec("j-000002"), "nobody"), fromUser); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("submission of an infeasible job: %d", a.Status)
	}
	if a := c.submit(ctx, encodeSubmission(fake.JobSpec("j-000003"), "team"), fromPeer); a.Status != http.StatusServiceUnavailable {
		t.Errorf("submission forwarded by another controller: %d", a.Status)
	}
	if a := c.poll(ctx, testJob, fromUser); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StagePending {
		t.Errorf("poll: %d %s", a.Status, a.Body)
	}
	if a := c.poll(ctx, "j-000003", fromUser); a.Status != http.StatusNotFound {
		t.Errorf("poll of an unknown job: %d", a.Status)
	}

	leader := newLeaderWithStore(t, 1, store)
	if !leader.persister.Restore(ctx) {
		t.Fatal("records not restored")
	}
	if a := leader.Poll(ctx, testJob); a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
		t.Errorf("poll of a leader that has not ingested the job: %d", a.Status)
	}
	if a := leader.Cancel(ctx, testJob); a.Status != http.StatusServiceUnavailable {
		t.Errorf("cancellation before the job is ingested: %d", a.Status)
	}
	infeasible := fake.JobSpec(testJob)
	infeasible.Team = "nobody"
	if a := leader.Submit(ctx, infeasible); a.Status == http.StatusUnprocessableEntity {
		t.Error("the duplicate of an accepted job is rejected")
	}
	startLoop(t, leader.persister.Run)
	startLoop(t, leader.ingester.Run)
	if !eventually(10*time.Second, func() bool { return len(store.Keys(storage.PrefixPending)) == 0 }) {
		t.Fatal("the job stays in the pending-submission queue")
	}
	// The job has left the queue in the store, but the leader learns this only from the response.
	accepted := func() bool {
		leader.state.Lock()
		defer leader.state.Unlock()
		return leader.state.Jobs[testJob].Accepted()
	}
	if !eventually(10*time.Second, accepted) {
		t.Fatal("the leader does not consider the job accepted after its write")
	}
	if a := leader.Cancel(ctx, testJob); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageCancelled {
		t.Errorf("cancellation: %d %s", a.Status, a.Body)
	}
	if a := c.submit(ctx, encodeSubmission(fake.JobSpec(testJob), "team"), fromUser); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageCancelled {
		t.Errorf("duplicate of a cancelled job: %d %s", a.Status, a.Body)
	}
}

// When the commit that accepts a job without a leader is slow, the job may have been ingested and
// cancelled by the time it is confirmed. Its state is read again before it is returned to the user.
func TestStateIsReadAgainAfterSlowAcceptance(t *testing.T) {
	store := fake.NewKVServer()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	c, clock := newRefusedController(t, store)
	store.RejectRequest = func(_, path string) bool {
		if path == protocol.PathCommit {
			clock.Now += answer.MaxAnswerAge + units.Millisecond
		}
		return false
	}
	a := c.submit(t.Context(), encodeSubmission(fake.JobSpec(testJob), "team"), fromUser)
	if got := c.readGate().Check(a); got.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StagePending {
		t.Errorf("submission: %d %s", got.Status, got.Body)
	}
	if len(store.Keys(storage.PrefixPending)) != 1 {
		t.Error("the job is not in the pending-submission queue")
	}
}

// A late pending submission of a job in a terminal state is removed from the pending-submission queue
// without effect: polls are never answered with another state, and the job is not accepted again.
func TestLatePendingSubmissionOfFinishedJobIsRemoved(t *testing.T) {
	store := fake.NewKVServer()
	spec := fake.JobSpec(testJob)
	for _, change := range cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec}).Then {
		store.Put(change.Set, change.Value)
	}
	store.Put(storage.KeyTerminal(spec.ID), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newLeaderWithStore(t, 1, store)
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("records not restored")
	}
	startLoop(t, leader.persister.Run)
	startLoop(t, leader.ingester.Run)
	removed := func() bool {
		if len(store.Keys(storage.PrefixPending)) == 0 {
			return true
		}
		if a := leader.Poll(t.Context(), spec.ID); a.Status == http.StatusOK && decodeState(t, a).Stage != protocol.StageDone || a.Status == http.StatusNotFound {
			t.Fatalf("poll: %d %s", a.Status, a.Body)
		}
		return false
	}
	if !eventually(10*time.Second, removed) {
		t.Fatal("the job stays in the pending-submission queue")
	}
	if live := store.Keys("job/"); len(live) > 0 {
		t.Errorf("live records of a finished job: %v", live)
	}
}
