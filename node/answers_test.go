package node

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
)

// closed gives a channel that holds nothing back.
func closed() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// holdCommits has the state service carry out a controller's transactions that name a
// key, and hold back their answers. It tells when one is held back.
func (d *day) holdCommits(node int, key string) (held *atomic.Bool, release func()) {
	held = new(atomic.Bool)
	gate := make(chan time.Time)
	d.set(func() {
		d.answerDelay = func(from int, r *http.Request, body []byte) <-chan time.Time {
			if from == node && r.URL.Path == protocol.PathCommit && bytes.Contains(body, []byte(key)) {
				held.Store(true)
				return gate
			}
			return closed()
		}
	})
	return held, func() {
		d.set(func() { d.answerDelay = nil })
		close(gate)
	}
}

// holdMesh holds up what one controller answers another until the channel lets go.
func (d *day) holdMesh(asks, answers int, gate func() <-chan time.Time) {
	mesh := d.nodes[answers].name + portMesh
	d.net.Delay(func(from, to string) <-chan time.Time {
		if from == d.nodes[asks].name && to == mesh {
			return gate()
		}
		return closed()
	})
}

// follower is a controller that does not lead.
func (d *day) follower(leader int) int { return (leader + 1) % len(d.nodes) }

// acceptedJob makes a watched job that is accepted, and names the leader and a controller
// that does not lead.
func (d *day) acceptedJob(tasks int, runs time.Duration) (j *watchedJob, leader, other int) {
	d.t.Helper()
	j = d.watch(standin.NewHistory(), tasks, runs)
	j.submitUntilAccepted()
	leader = d.leader()
	return j, leader, d.follower(leader)
}

// The save that ends a job is carried out and its answer held back. A controller that
// does not reach the leader reads the final record and tells of it; from then on the
// leader, which does not know yet, must not call the job running.
func TestEndIsStoredBeforeTheLeaderKnows(t *testing.T) {
	play(t, plan{}, func(d *day) {
		j, leader, other := d.acceptedJob(2, 3*time.Second)
		d.cutPeers(other, true)
		held, release := d.holdCommits(leader, storage.KeyTerminal(j.info.ID))
		d.until("the end is stored", held.Load)
		if !j.final(other, 3*time.Second) {
			t.Error("the end is stored, and the other controller does not tell")
		}
		d.wait(time.Millisecond)
		j.poll(leader)
		j.submit(leader)
		release()
		if !j.final(leader, 3*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.regressions(j.history)
	})
}

// The same for a cancellation, which is told before the job is over.
func TestCancellationIsStoredBeforeTheLeaderKnows(t *testing.T) {
	play(t, plan{}, func(d *day) {
		j, leader, other := d.acceptedJob(4, long)
		d.until("it runs", func() bool { return d.rules.On(j.info.ID) == 4 })
		d.cutPeers(other, true)
		held, release := d.holdCommits(leader, storage.KeyJob(j.info.ID))
		j.later(func() { j.cancel(leader) })
		d.until("the cancellation is stored", held.Load)
		if !j.final(other, 3*time.Second) {
			t.Error("the cancellation is stored, and the other controller does not tell")
		}
		d.wait(time.Millisecond)
		j.poll(leader)
		j.submit(leader)
		release()
		j.asking.Wait()
		if !j.final(leader, 3*time.Second) {
			t.Error("the leader does not tell of the cancellation")
		}
		d.regressions(j.history)
	})
}

// A follower that waits too long for the leader's answer to a repeated submission asks
// the records. It must not tell of an end that the leader does not know yet, without a
// cut between them either.
func TestRepeatedSubmissionMeetsTheEnd(t *testing.T) {
	play(t, plan{}, func(d *day) {
		j, leader, other := d.acceptedJob(2, 3*time.Second)
		held, release := d.holdCommits(leader, storage.KeyTerminal(j.info.ID))
		d.until("the end is stored", held.Load)
		d.holdMesh(other, leader, func() <-chan time.Time { return time.After(400 * time.Millisecond) })
		for range 10 {
			j.submit(other)
			d.wait(time.Millisecond)
			j.poll(leader)
		}
		d.net.Delay(nil)
		release()
		if !j.final(leader, 3*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.regressions(j.history)
	})
}

// The leader's answer to a poll that another controller passed on is held up between
// the two. The leader meanwhile tells others that the job is done; the answer that
// arrives then must not be given.
func TestPassedOnAnswerIsHeldUp(t *testing.T) {
	play(t, plan{}, func(d *day) {
		const runs = 3 * time.Second
		j, leader, other := d.acceptedJob(1, runs)
		d.until("it runs", func() bool { return d.rules.On(j.info.ID) == 1 })
		d.wait(runs - 500*time.Millisecond)
		gate := make(chan time.Time)
		d.holdMesh(other, leader, func() <-chan time.Time { return gate })
		told := make(chan struct{})
		j.later(func() {
			if !j.final(leader, 4*time.Second) {
				t.Error("the leader does not tell of the end")
			}
			close(told)
		})
		for asking := true; asking; {
			j.later(func() { j.poll(other) })
			select {
			case <-told:
				asking = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		close(gate)
		j.asking.Wait()
		d.net.Delay(nil)
		d.regressions(j.history)
	})
}

// The state service's answers to reads of the live record are held up, on their way to
// a controller that reaches no leader, until the leader has told that the job is done.
func TestReadOfALiveRecordIsHeldUp(t *testing.T) {
	play(t, plan{}, func(d *day) {
		const runs = 6 * time.Second
		j, leader, other := d.acceptedJob(1, runs)
		d.cutPeers(other, true)
		d.until("it runs", func() bool { return d.rules.On(j.info.ID) == 1 })
		d.wait(runs - 300*time.Millisecond) // the link counts as lost by now
		d.set(func() {
			d.answerDelay = func(node int, r *http.Request, _ []byte) <-chan time.Time {
				if node == other && r.URL.Path == protocol.PathKeys+"/"+storage.KeyJob(j.info.ID) {
					return time.After(780 * time.Millisecond) // within the limit of such a read
				}
				return closed()
			}
		})
		for range 100 {
			j.later(func() { j.poll(other) })
			j.later(func() { j.poll(leader) })
			d.wait(20 * time.Millisecond)
		}
		j.asking.Wait()
		if !j.final(leader, 2*time.Second) {
			t.Error("the leader does not tell of the end")
		}
		d.regressions(j.history)
	})
}
