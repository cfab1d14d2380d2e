package node

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// noDelay returns a channel that is ready at once.
func noDelay() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// holdCommitResponses has the key-value store apply the transactions of a controller that name a
// key, and withhold their responses until release is called. held is set once a response is
// withheld.
func (d *deployment) holdCommitResponses(controller int, key string) (held *atomic.Bool, release func()) {
	held = new(atomic.Bool)
	gate := make(chan time.Time)
	d.update(func() {
		d.kvResponseDelay = func(from int, r *http.Request, body []byte) <-chan time.Time {
			if from == controller && r.URL.Path == protocol.PathCommit && bytes.Contains(body, []byte(key)) {
				held.Store(true)
				return gate
			}
			return noDelay()
		}
	})
	return held, func() {
		d.update(func() { d.kvResponseDelay = nil })
		close(gate)
	}
}

// delayMesh delays all that caller receives on its connections to callee until the channel
// returned by gate is ready.
func (d *deployment) delayMesh(caller, callee int, gate func() <-chan time.Time) {
	mesh := d.controllers[callee].name + meshPort
	d.network.SetDelay(func(from, to string) <-chan time.Time {
		if from == d.controllers[caller].name && to == mesh {
			return gate()
		}
		return noDelay()
	})
}

// The transaction that ends a job is applied and its response withheld from the leader. A follower
// that cannot reach the leader reads the terminal record and reports the end. From then on the
// leader, which does not know of the end yet, must not report the job as running.
func TestLeaderUnawareOfStoredCompletionNeverReportsRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		job, leader, follower := d.newAcceptedJob(2, 3*time.Second)
		d.partitionPeers(follower, true)
		held, release := d.holdCommitResponses(leader, storage.KeyTerminal(job.info.ID))
		d.waitUntil("the end is stored", held.Load)
		if !job.pollUntilTerminal(follower, 3*time.Second) {
			t.Error("the end is stored, and the follower does not report it")
		}
		d.sleep(time.Millisecond)
		job.poll(leader)
		job.submit(leader)
		release()
		if !job.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not report the end")
		}
		d.expectNoRegressions(job.history)
	})
}

// Like TestLeaderUnawareOfStoredCompletionNeverReportsRunning for a cancellation, which is
// reported before all tasks have ended.
func TestLeaderUnawareOfStoredCancellationNeverReportsRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		job, leader, follower := d.newAcceptedJob(4, endlessRunTime)
		d.waitUntil("all tasks of the job run", func() bool { return d.invariants.RunningTasks(job.info.ID) == 4 })
		d.partitionPeers(follower, true)
		held, release := d.holdCommitResponses(leader, storage.KeyJob(job.info.ID))
		job.pending.Go(func() { job.cancel(leader) })
		d.waitUntil("the cancellation is stored", held.Load)
		if !job.pollUntilTerminal(follower, 3*time.Second) {
			t.Error("the cancellation is stored, and the follower does not report it")
		}
		d.sleep(time.Millisecond)
		job.poll(leader)
		job.submit(leader)
		release()
		job.pending.Wait()
		if !job.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not report the cancellation")
		}
		d.expectNoRegressions(job.history)
	})
}

// A follower that is not partitioned from the leader, but gets no response to a duplicate
// submission in time, reads the records. It must not report an end that the leader does not know
// of yet.
func TestDuplicateSubmissionDoesNotRevealCompletionBeforeLeader(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		job, leader, follower := d.newAcceptedJob(2, 3*time.Second)
		held, release := d.holdCommitResponses(leader, storage.KeyTerminal(job.info.ID))
		d.waitUntil("the end is stored", held.Load)
		d.delayMesh(follower, leader, func() <-chan time.Time { return time.After(400 * time.Millisecond) })
		for range 10 {
			job.submit(follower)
			d.sleep(time.Millisecond)
			job.poll(leader)
		}
		d.network.SetDelay(nil)
		release()
		if !job.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not report the end")
		}
		d.expectNoRegressions(job.history)
	})
}

// The response of the leader to a poll that a follower forwarded is delayed on its way to the
// follower. The leader meanwhile reports to other users that the job is done. The follower must
// not pass on the late response.
func TestDelayedForwardedPollNeverReturnsStaleStage(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		const runTime = 3 * time.Second
		job, leader, follower := d.newAcceptedJob(1, runTime)
		d.waitUntil("all tasks of the job run", func() bool { return d.invariants.RunningTasks(job.info.ID) == 1 })
		d.sleep(runTime - 500*time.Millisecond)
		gate := make(chan time.Time)
		d.delayMesh(follower, leader, func() <-chan time.Time { return gate })
		reported := make(chan struct{})
		job.pending.Go(func() {
			if !job.pollUntilTerminal(leader, 4*time.Second) {
				t.Error("the leader does not report the end")
			}
			close(reported)
		})
		for polling := true; polling; {
			job.pending.Go(func() { job.poll(follower) })
			select {
			case <-reported:
				polling = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		close(gate)
		job.pending.Wait()
		d.network.SetDelay(nil)
		d.expectNoRegressions(job.history)
	})
}

// The key-value store's responses to reads of the live record are delayed, on their way to a
// follower that reaches no leader, until the leader has reported that the job is done.
func TestDelayedRecordReadNeverReturnsStaleStage(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		const runTime = 6 * time.Second
		job, leader, follower := d.newAcceptedJob(1, runTime)
		d.partitionPeers(follower, true)
		d.waitUntil("all tasks of the job run", func() bool { return d.invariants.RunningTasks(job.info.ID) == 1 })
		d.sleep(runTime - 300*time.Millisecond) // by then the follower considers its link to the leader lost
		d.update(func() {
			d.kvResponseDelay = func(controller int, r *http.Request, _ []byte) <-chan time.Time {
				if controller == follower && r.URL.Path == protocol.PathKeys+"/"+storage.KeyJob(job.info.ID) {
					return time.After(780 * time.Millisecond) // within the timeout of such a read
				}
				return noDelay()
			}
		})
		for range 100 {
			job.pending.Go(func() { job.poll(follower) })
			job.pending.Go(func() { job.poll(leader) })
			d.sleep(20 * time.Millisecond)
		}
		job.pending.Wait()
		if !job.pollUntilTerminal(leader, 2*time.Second) {
			t.Error("the leader does not report the end")
		}
		d.expectNoRegressions(job.history)
	})
}
