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

// isClosed reports whether whoever waits on a channel is woken.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A batch whose answer was lost is sent again, and found to be carried out.
func TestUnansweredBatchIsCommittedOnce(t *testing.T) {
	server := fake.NewKVServer()
	p, _ := newRestoredPersister(t, server, 1)
	job, batch := newAcceptance(t, p, "j-000001")
	durable, before := job.Durable(), server.Revision()
	lost := false
	server.DropResponse = func(int) bool {
		first := !lost
		lost = true
		return first
	}
	p.CommitBatch(t.Context(), batch)
	if !lost || server.Revision() != before+1 {
		t.Errorf("carried out %d times", server.Revision()-before)
	}
	if !job.Accepted() || !isClosed(durable) {
		t.Error("the job does not count as accepted")
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
		t.Error("the former leader goes on")
	}
	if written := server.Keys(storage.PrefixJobs); len(written) != 0 {
		t.Errorf("written: %v", written)
	}
}

// The id of a finished job is not accepted again; whoever waits is woken and told of the finished
// one.
func TestFinishedJobIsNotAcceptedAgain(t *testing.T) {
	server := fake.NewKVServer()
	const id = "j-000001"
	server.Put(storage.KeyTerminal(id), protocol.Encode(storage.TerminalRecord{Stage: protocol.StageDone, Tasks: 2, Done: 2}))
	p, _ := newRestoredPersister(t, server, 1)
	job, batch := newAcceptance(t, p, id)
	durable := job.Durable()
	p.CommitBatch(t.Context(), batch)
	if p.State.Jobs[id] != nil || job.Accepted() || !isClosed(durable) {
		t.Error("the job stays in the state")
	}
	if record, ok := p.Terminals.Cached(id); !ok || record.Stage != protocol.StageDone {
		t.Errorf("the terminal record: %+v, %v", record, ok)
	}
	if !p.Leadership.Valid() {
		t.Error("the leader stepped down")
	}
}

// A batch beyond the limits of the key-value store is built anew; if an earlier try got no answer,
// it may still be carried out, and only the next leader's claim can exclude that.
func TestRejectedBatch(t *testing.T) {
	const tooSmall, ops, writesPerSecond = 1, 12, 1000
	t.Run("is rebuilt", func(t *testing.T) {
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
			t.Fatal("not built again")
		}
		if p.CommitBatch(t.Context(), again); !job.Accepted() {
			t.Error("not accepted with the next batch")
		}
	})
	t.Run("after an unanswered try", func(t *testing.T) {
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
			t.Errorf("%d tries, %d rejected: the test shows nothing", commits, server.RejectedTxns())
		}
		if job.Accepted() || p.Leadership.Valid() {
			t.Error("the leader goes on though the batch may still be carried out")
		}
	})
}
