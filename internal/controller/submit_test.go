package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
)

// Submission, cancellation and their repeats, with commits that are carried
// out and not answered: the save's id tells its author that it was.
func TestSubmitAndCancelWithLostAnswers(t *testing.T) {
	store := standin.NewState()
	store.Silent = func(n int) bool { return n%2 == 0 }
	leader := newStoredLeader(t, 1, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for try := 0; !leader.persister.Restore(ctx); try++ {
		if try == 3 {
			t.Fatal("not restored")
		}
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	go leader.persister.Run(ctx)
	if r := leader.Poll(ctx, "j-000001"); r.Status != http.StatusNotFound {
		t.Fatalf("unknown job: %d", r.Status)
	}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusCreated {
			t.Fatalf("submit: %d %s", r.Status, r.Body)
		}
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StagePending {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		if r := leader.Cancel(ctx, id); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("cancel: %d %s", r.Status, r.Body)
		}
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("repeat after cancel: %d %s", r.Status, r.Body)
		}
	}
	// The final records are apart, and a restore does not read them.
	deadline := time.Now().Add(5 * time.Second)
	for len(store.Keys("final/")) < 3 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if finals, live := store.Keys("final/"), store.Keys("job/"); len(finals) != 3 || len(live) != 0 {
		t.Fatalf("finals %v, live %v", finals, live)
	}
}

// A later leader does not know finished jobs by heart: it must find them, for
// polls and for repeated submissions whatever their body now says.
func TestFinishedJobsAreFoundByLaterLeaders(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyTerminal("j-000007"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newStoredLeader(t, 3, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	go leader.persister.Run(ctx)
	bad := modelSpec("j-000007")
	bad.Team = "nobody"
	for _, spec := range []*protocol.JobSpec{modelSpec("j-000007"), bad} {
		if r := leader.Submit(ctx, spec); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		leader.terminals = persister.NewTerminalJobs(leader.state, leader.KV)
	}
	if r := leader.Poll(ctx, "j-000007"); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Fatalf("poll: %d %s", r.Status, r.Body)
	}
	if r := leader.records().poll(ctx, "j-000007"); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Fatalf("stored poll: %d", r.Status)
	}
	if r := leader.records().poll(ctx, "j-000008"); r.Status != http.StatusNotFound {
		t.Fatalf("stored poll of an unknown job: %d", r.Status)
	}
}

// A record that cannot be read stops the restore and stays as it is.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	store := standin.NewState()
	raw := protocol.Encode(map[string]any{"v": 99, "id": "j-000001"})
	store.Put(storage.KeyJob("j-000001"), raw)
	leader := newStoredLeader(t, 2, store)
	if leader.persister.Restore(t.Context()) || leader.Ready() {
		t.Fatal("led in spite of it")
	}
	if r := leader.Poll(t.Context(), "j-000001"); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("poll: %d", r.Status)
	}
	if item, _ := store.Get(storage.KeyJob("j-000001")); string(item.Value) != string(raw) {
		t.Fatal("record was changed")
	}
}

// Without a valid lease nothing is answered 200.
func TestNothingIsAnsweredWithoutTheLease(t *testing.T) {
	leader := newStoredLeader(t, 2, standin.NewState())
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	leader.lease().Lost = true
	for name, r := range map[string]answer.Answer{
		"submit": leader.Submit(t.Context(), modelSpec("j-000001")),
		"poll":   leader.Poll(t.Context(), "j-000001"),
		"cancel": leader.Cancel(t.Context(), "j-000001"),
	} {
		if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
			t.Errorf("%s: %d", name, r.Status)
		}
	}
	if _, ok := leader.Heartbeat(t.Context(), &protocol.Heartbeat{
		Machine:      "i-1",
		InstanceType: "m",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     1,
	}, nil); ok {
		t.Error("a report was accepted")
	}
}

// The leader tells nothing of a job while its end or cancellation is in a save whose
// outcome it does not know, and goes on to tell once it is known, either way.
func TestLeaderIsSilentWhileAnEndIsStored(t *testing.T) {
	for _, stored := range []bool{true, false} {
		leader, clock := newLeaderWithJob(t, 2)
		const id = "j-000001"
		status := func() int {
			a, found := leader.pollLive(id)
			if !found {
				t.Fatal("the job is not known")
			}
			return a.Status
		}
		if got := status(); got != http.StatusOK {
			t.Fatalf("a live job: %d", got)
		}
		leader.cancelJob(leader.state.Jobs[id])
		if got := status(); got != http.StatusOK {
			t.Errorf("a cancellation that nobody can have read: %d", got)
		}
		batch := leader.state.BuildWriteBatch(leader.persister.NextWriteID(), leader.persister.BucketVersions(), cluster.BatchLimits{}, clock.Now)
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("its save is on its way: %d", got)
		}
		if stored {
			leader.persister.BatchCommitted(batch, 5)
		} else {
			leader.state.BatchRefused(batch, clock.Now)
		}
		if got := status(); got != http.StatusOK {
			t.Errorf("stored %v: %d", stored, got)
		}
	}
}
