package controller

import (
	"net/http"
	"testing"

	"dunestand/internal/cluster"
)

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
