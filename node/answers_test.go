package node

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// closed gives a channel that holds nothing back.
func noDelay() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// holdCommits has the state service carry out a controller's transactions that name a
// key, and hold back their answers. It tells when one is held back.
func (d *deployment) holdCommitResponses(node int, key string) (held *atomic.Bool, release func()) {
	held = new(atomic.Bool)
	gate := make(chan time.Time)
	d.update(func() {
		d.kvResponseDelay = func(from int, r *http.Request, body []byte) <-chan time.Time {
			if from == node && r.URL.Path == protocol.PathCommit && bytes.Contains(body, []byte(key)) {
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

// holdMesh holds up what one controller answers another until the channel lets go.
func (d *deployment) delayMesh(caller, callee int, gate func() <-chan time.Time) {
	mesh := d.nodes[callee].name + meshPort
	d.network.SetDelay(func(from, to string) <-chan time.Time {
		if from == d.nodes[caller].name && to == mesh {
			return gate()
		}
		return noDelay()
	})
}

// follower is a controller that does not lead.
func (d *deployment) follower(leader int) int { return (leader + 1) % len(d.nodes) }

// acceptedJob makes a watched job that is accepted, and names the leader and a controller
// that does not lead.
func (d *deployment) newAcceptedJob(tasks int, runs time.Duration) (job *trackedJob, leader, follower int) {
	d.t.Helper()
	job = d.newTrackedJob(standin.NewHistory(), tasks, runs)
	job.submitUntilAccepted()
	leader = d.leader()
	return job, leader, d.follower(leader)
}

// The save that ends a job is carried out and its answer held back. A controller that
// does not reach the leader reads the final record and tells of it; from then on the
// leader, which does not know yet, must not call the job running.
func TestLeaderUnawareOfStoredCompletionNeverReportsRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		j, leader, other := d.newAcceptedJob(2, 3*time.Second)
		d.partitionPeers(other, true)
		held, release := d.holdCommitResponses(leader, bookkeeping.KeyFinal(j.info.ID))
		d.waitUntil("the end is stored", held.Load)
		if !j.pollUntilTerminal(other, 3*time.Second) {
			t.Error("the end is stored, and the other controller does not tell")
		}
		d.sleep(time.Millisecond)
		j.poll(leader)
		j.submit(leader)
		release()
		if !j.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.expectNoRegressions(j.history)
	})
}

// The same for a cancellation, which is told before the job is over.
func TestLeaderUnawareOfStoredCancellationNeverReportsRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		j, leader, other := d.newAcceptedJob(4, endlessRunTime)
		d.waitUntil("it runs", func() bool { return d.invariants.RunningTasks(j.info.ID) == 4 })
		d.partitionPeers(other, true)
		held, release := d.holdCommitResponses(leader, bookkeeping.KeyJob(j.info.ID))
		j.background(func() { j.cancel(leader) })
		d.waitUntil("the cancellation is stored", held.Load)
		if !j.pollUntilTerminal(other, 3*time.Second) {
			t.Error("the cancellation is stored, and the other controller does not tell")
		}
		d.sleep(time.Millisecond)
		j.poll(leader)
		j.submit(leader)
		release()
		j.pending.Wait()
		if !j.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not tell of the cancellation")
		}
		d.expectNoRegressions(j.history)
	})
}

// A follower that waits too long for the leader's answer to a repeated submission asks
// the records. It must not tell of an end that the leader does not know yet, without a
// cut between them either.
func TestDuplicateSubmissionDoesNotRevealCompletionBeforeLeader(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		j, leader, other := d.newAcceptedJob(2, 3*time.Second)
		held, release := d.holdCommitResponses(leader, bookkeeping.KeyFinal(j.info.ID))
		d.waitUntil("the end is stored", held.Load)
		d.delayMesh(other, leader, func() <-chan time.Time { return time.After(400 * time.Millisecond) })
		for range 10 {
			j.submit(other)
			d.sleep(time.Millisecond)
			j.poll(leader)
		}
		d.network.SetDelay(nil)
		release()
		if !j.pollUntilTerminal(leader, 3*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.expectNoRegressions(j.history)
	})
}

// The leader's answer to a poll that another controller passed on is held up between
// the two. The leader meanwhile tells others that the job is done; the answer that
// arrives then must not be given.
func TestDelayedForwardedPollNeverReturnsStaleStage(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		const runs = 3 * time.Second
		j, leader, other := d.newAcceptedJob(1, runs)
		d.waitUntil("it runs", func() bool { return d.invariants.RunningTasks(j.info.ID) == 1 })
		d.sleep(runs - 500*time.Millisecond)
		gate := make(chan time.Time)
		d.delayMesh(other, leader, func() <-chan time.Time { return gate })
		told := make(chan struct{})
		j.background(func() {
			if !j.pollUntilTerminal(leader, 4*time.Second) {
				t.Error("the leader does not tell of the end")
			}
			close(told)
		})
		for asking := true; asking; {
			j.background(func() { j.poll(other) })
			select {
			case <-told:
				asking = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		close(gate)
		j.pending.Wait()
		d.network.SetDelay(nil)
		d.expectNoRegressions(j.history)
	})
}

// The state service's answers to reads of the live record are held up, on their way to
// a controller that reaches no leader, until the leader has told that the job is done.
func TestDelayedRecordReadNeverReturnsStaleStage(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		const runs = 6 * time.Second
		j, leader, other := d.newAcceptedJob(1, runs)
		d.partitionPeers(other, true)
		d.waitUntil("it runs", func() bool { return d.invariants.RunningTasks(j.info.ID) == 1 })
		d.sleep(runs - 300*time.Millisecond) // the link counts as lost by now
		d.update(func() {
			d.kvResponseDelay = func(node int, r *http.Request, _ []byte) <-chan time.Time {
				if node == other && r.URL.Path == protocol.PathKeys+"/"+bookkeeping.KeyJob(j.info.ID) {
					return time.After(780 * time.Millisecond) // within the limit of such a read
				}
				return noDelay()
			}
		})
		for range 100 {
			j.background(func() { j.poll(other) })
			j.background(func() { j.poll(leader) })
			d.sleep(20 * time.Millisecond)
		}
		j.pending.Wait()
		if !j.pollUntilTerminal(leader, 2*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.expectNoRegressions(j.history)
	})
}
