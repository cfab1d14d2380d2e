package persister

import (
	"net/http"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// newAcceptance adds a job to the state and returns the batch that accepts it.
func newAcceptance(t *testing.T, p *Persister, id string) (*cluster.Job, *cluster.WriteBatch) {
	t.Helper()
	p.State.Lock()
	job := p.State.NewJob(*fake.JobSpec(id), p.Clock.Wall(), p.Clock.Steady())
	p.State.Unlock()
	batch := p.nextBatch()
	if batch == nil {
		t.Fatal("nothing to write")
	}
	return job, batch
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A batch whose response was lost is sent again. After the version conflict, the write ID in its
// record shows that the first request was committed.
func TestBatchWithoutResponseIsCommittedOnce(t *testing.T) {
	server := fake.NewKVServer()
	p, _ := newRestoredPersister(t, server, 1)
	job, batch := newAcceptance(t, p, "j-000001")
	durable, before := job.Durable(), server.Revision()
	responseLost := false
	server.DropResponse = func(int) bool {
		first := !responseLost
		responseLost = true
		return first
	}
	p.CommitBatch(t.Context(), batch)
	if !responseLost || server.Revision() != before+1 {
		t.Errorf("committed %d times, want once after a lost response", server.Revision()-before)
	}
	if !job.Accepted() || !isClosed(durable) {
		t.Error("the job is not accepted")
	}
	if !p.Leadership.Valid() {
		t.Error("the leader stepped down")
	}
}

func TestFormerLeaderStepsDownOnConflict(t *testing.T) {
	server := fake.NewKVServer()
	former, _ := newRestoredPersister(t, server, 1)
	newRestoredPersister(t, server, 2)
	job, batch := newAcceptance(t, former, "j-000001")
	former.CommitBatch(t.Context(), batch)
	if former.Leadership.Valid() || job.Accepted() {
		t.Error("the former leader did not step down, or accepted the job")
	}
	if written := server.Keys(storage.PrefixJobs); len(written) != 0 {
		t.Errorf("job records written: %v", written)
	}
}

// A new job with the ID of a finished job is not accepted. Its waiters are woken, and the terminal
// record of the finished job is cached.
func TestFinishedJobIsNotAcceptedAgain(t *testing.T) {
	server := fake.NewKVServer()
	const id = "j-000001"
	server.Put(storage.KeyTerminal(id), protocol.Encode(storage.TerminalRecord{Stage: protocol.StageDone, Tasks: 2, Done: 2}))
	p, _ := newRestoredPersister(t, server, 1)
	job, batch := newAcceptance(t, p, id)
	durable := job.Durable()
	p.CommitBatch(t.Context(), batch)
	if p.State.Jobs[id] != nil || job.Accepted() || !isClosed(durable) {
		t.Error("the job is still in the state, or its waiters are not woken")
	}
	if record, ok := p.Terminals.Cached(id); !ok || record.Stage != protocol.StageDone {
		t.Errorf("cached terminal record: %+v, %v", record, ok)
	}
	if !p.Leadership.Valid() {
		t.Error("the leader stepped down")
	}
}

// A batch that exceeds the limits of the key-value store is rebuilt. After an earlier request without
// a response the leader steps down instead: that request may still be committed, which only the
// claim of the next leader can exclude.
func TestRejectedBatchIsRebuiltUnlessOutcomeUnknown(t *testing.T) {
	const tooSmall, ops, writesPerSecond = 1, 12, 1000
	t.Run("rebuilt", func(t *testing.T) {
		server := fake.NewKVServer()
		p, _ := newRestoredPersister(t, server, 1)
		job, batch := newAcceptance(t, p, "j-000001")
		server.SetLimits(tooSmall, ops, writesPerSecond)
		p.CommitBatch(t.Context(), batch)
		if server.RejectedTxns() != 1 || job.Accepted() || !p.Leadership.Valid() {
			t.Errorf("rejected %d times, accepted %v", server.RejectedTxns(), job.Accepted())
		}
		server.SetLimits(64<<10, ops, writesPerSecond)
		again := p.nextBatch()
		if again == nil {
			t.Fatal("the job is not in a new batch")
		}
		if p.CommitBatch(t.Context(), again); !job.Accepted() {
			t.Error("not accepted with the next batch")
		}
	})
	t.Run("steps down if the outcome is unknown", func(t *testing.T) {
		server := fake.NewKVServer()
		p, _ := newRestoredPersister(t, server, 1)
		job, batch := newAcceptance(t, p, "j-000001")
		commits := 0
		server.DelayCommit = func(int) bool { return true }
		server.RejectRequest = func(method, _ string) bool {
			if method == http.MethodPost {
				if commits++; commits == 2 {
					server.SetLimits(tooSmall, ops, writesPerSecond)
				}
			}
			return false
		}
		p.CommitBatch(t.Context(), batch)
		if commits != 2 || server.RejectedTxns() != 1 {
			t.Errorf("%d requests, %d rejected; want 2 and 1, otherwise the test is void", commits, server.RejectedTxns())
		}
		if job.Accepted() || p.Leadership.Valid() {
			t.Error("the leader did not step down though the batch may still be committed")
		}
	})
}
