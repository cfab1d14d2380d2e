package controller

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// Submissions, cancellations and their duplicates succeed although every other response of the
// key-value store is lost. The leader finds out by the write ID that a commit took effect.
func TestSubmitAndCancelSucceedWithLostResponses(t *testing.T) {
	store := fake.NewKVServer()
	store.DropResponse = func(n int) bool { return n%2 == 0 }
	leader := newLeaderWithStore(t, 1, store)
	ctx := t.Context()
	for try := 0; !leader.persister.Restore(ctx); try++ {
		if try == 3 {
			t.Fatal("records not restored")
		}
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	if a := leader.Poll(ctx, "j-000001"); a.Status != http.StatusNotFound {
		t.Fatalf("unknown job: %d", a.Status)
	}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		if a := leader.Submit(ctx, fake.JobSpec(id)); a.Status != http.StatusCreated {
			t.Fatalf("submit: %d %s", a.Status, a.Body)
		}
		if a := leader.Submit(ctx, fake.JobSpec(id)); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StagePending {
			t.Fatalf("duplicate: %d %s", a.Status, a.Body)
		}
		if a := leader.Cancel(ctx, id); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageCancelled {
			t.Fatalf("cancel: %d %s", a.Status, a.Body)
		}
		if a := leader.Submit(ctx, fake.JobSpec(id)); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageCancelled {
			t.Fatalf("duplicate after cancel: %d %s", a.Status, a.Body)
		}
	}
	// Terminal records have a key prefix of their own, which a restore does not read.
	eventually(5*time.Second, func() bool { return len(store.Keys("final/")) >= 3 })
	if terminal, live := store.Keys("final/"), store.Keys("job/"); len(terminal) != 3 || len(live) != 0 {
		t.Fatalf("terminal records %v, live records %v", terminal, live)
	}
}

// A later leader does not hold finished jobs in memory. It must find their records for polls and for
// duplicate submissions, even if the duplicate has another body.
func TestFinishedJobsAreFoundByLaterLeaders(t *testing.T) {
	const id = "j-000007"
	store := fake.NewKVServer()
	store.Put(storage.KeyTerminal(id), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newLeaderWithStore(t, 3, store)
	ctx := t.Context()
	if !leader.persister.Restore(ctx) {
		t.Fatal("records not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	infeasible := fake.JobSpec(id)
	infeasible.Team = "nobody"
	for _, spec := range []*protocol.JobSpec{fake.JobSpec(id), infeasible} {
		if a := leader.Submit(ctx, spec); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageDone {
			t.Fatalf("duplicate: %d %s", a.Status, a.Body)
		}
		leader.terminals = persister.NewTerminalJobs(leader.state, leader.KV)
	}
	if a := leader.Poll(ctx, id); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageDone {
		t.Fatalf("poll: %d %s", a.Status, a.Body)
	}
	if a := leader.records().poll(ctx, id); a.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StageDone {
		t.Fatalf("poll of the records: %d", a.Status)
	}
	if a := leader.records().poll(ctx, "j-000008"); a.Status != http.StatusNotFound {
		t.Fatalf("poll of the records, unknown job: %d", a.Status)
	}
}

// An unreadable record prevents the restore and is not changed.
func TestUnreadableRecordStopsTheRestore(t *testing.T) {
	store := fake.NewKVServer()
	record := protocol.Encode(map[string]any{"v": 99, "id": testJob})
	store.Put(storage.KeyJob(testJob), record)
	leader := newLeaderWithStore(t, 2, store)
	if leader.persister.Restore(t.Context()) || leader.Ready() {
		t.Fatal("the leader is ready despite an unreadable record")
	}
	if a := leader.Poll(t.Context(), testJob); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Fatalf("poll: %d", a.Status)
	}
	if item, _ := store.Get(storage.KeyJob(testJob)); string(item.Value) != string(record) {
		t.Fatal("unreadable record changed")
	}
}

// Without a valid lease every request is answered with status 503 and every heartbeat is rejected.
func TestRequestsAreUnavailableWithoutTheLease(t *testing.T) {
	leader := newLeaderWithStore(t, 2, fake.NewKVServer())
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("records not restored")
	}
	leader.fakeLeadership().Lost = true
	for name, a := range map[string]answer.Answer{
		"submit": leader.Submit(t.Context(), fake.JobSpec(testJob)),
		"poll":   leader.Poll(t.Context(), testJob),
		"cancel": leader.Cancel(t.Context(), testJob),
	} {
		if a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
			t.Errorf("%s: %d", name, a.Status)
		}
	}
	if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", 1, 1, 0), nil); !errors.Is(err, errNotLeader) {
		t.Error("a heartbeat was accepted")
	}
}

// The leader answers polls of a job with status 503 while the job's terminal state or cancellation is
// in a write batch whose outcome is unknown. It answers again once the batch is committed or has
// conflicted.
func TestPollIsUnavailableWhileTerminalWriteIsInFlight(t *testing.T) {
	for _, committed := range []bool{true, false} {
		t.Run(fmt.Sprintf("committed=%v", committed), func(t *testing.T) {
			leader, clock := newLeaderWithJob(t, 2)
			status := func() int {
				a, found := leader.pollLive(testJob)
				if !found {
					t.Fatal("the job is not known")
				}
				return a.Status
			}
			if got := status(); got != http.StatusOK {
				t.Fatalf("poll of a live job: %d", got)
			}
			leader.cancelJob(leader.state.Jobs[testJob])
			if got := status(); got != http.StatusOK {
				t.Errorf("poll before the cancellation is written: %d", got)
			}
			batch := leader.state.BuildWriteBatch(leader.persister.NextWriteID(), leader.persister.BucketVersions(), cluster.BatchLimits{}, clock.Now)
			if got := status(); got != http.StatusServiceUnavailable {
				t.Errorf("poll while the write batch is in flight: %d", got)
			}
			if committed {
				leader.persister.BatchCommitted(batch, 5)
			} else {
				leader.state.BatchConflicted(batch, clock.Now)
			}
			if got := status(); got != http.StatusOK {
				t.Errorf("poll after the outcome is known: %d", got)
			}
		})
	}
}

// If the workers' lease is longer than tasks may run after their cancellation is confirmed, no
// cancellation is confirmed while one of the job's tasks runs, even if the cancellation is durable.
func TestCancellationIsNotConfirmedWhileTasksRun(t *testing.T) {
	leader := newLeaderWithStore(t, 1, fake.NewKVServer(), func(d *Deps) {
		d.Settings.Fleet.Workers.CancelS = d.Settings.Fleet.Workers.LeaseS / 2
	})
	ctx := t.Context()
	if !leader.persister.Restore(ctx) {
		t.Fatal("records not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	if a := leader.Submit(ctx, fake.JobSpec(testJob)); a.Status != http.StatusCreated {
		t.Fatalf("submit: %d %s", a.Status, a.Body)
	}
	leader.state.Lock()
	job := leader.state.Jobs[testJob]
	attempt := leader.state.Assign(job, leader.state.EnsureMachine("i-000001", "m", "a", true, 0), 7, 0)
	attempt.Stage = cluster.Running
	leader.state.Unlock()
	if a := leader.Cancel(ctx, testJob); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("cancel while a task runs: %d %s", a.Status, a.Body)
	}
	leader.state.Lock()
	if !job.CancelDurable {
		t.Error("the cancellation is not durable")
	}
	leader.state.RemoveAttempt(attempt, 0)
	job.MarkChanged(0, true)
	leader.state.Unlock()
	leader.writeSignal.Raise()
	if !eventually(5*time.Second, func() bool { return leader.Cancel(ctx, testJob).Status == http.StatusOK }) {
		t.Error("the cancellation is not confirmed once no task runs")
	}
}
