package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
)

// requestOrigin is the kind of client that sent a request.
type requestOrigin uint8

const (
	fromUser requestOrigin = iota // the request may be forwarded to the leader
	fromPeer                      // another controller forwarded the request; it is not forwarded again
)

// submit answers a submission. A follower forwards it to the leader; if no leader is reachable,
// a user's job may be accepted without one.
func (c *Controller) submit(ctx context.Context, body []byte, origin requestOrigin) answer.Answer {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		return c.rejectMalformed(ctx, body, err, origin)
	}
	var a answer.Answer
	if leader := c.activeLeader(); leader == nil {
		a = c.forward(ctx, origin, protocol.FrameSubmit, "", body)
	} else if a = leader.Submit(ctx, spec); leader.Ready() {
		return a
	}
	if origin == fromUser && a.Status == http.StatusServiceUnavailable {
		return c.acceptWithoutLeader(ctx, spec, a)
	}
	c.leaderlessJobs.acceptedBytes.Store(0)
	return a
}

// rejectMalformed answers a submission that cannot be parsed. If its job ID is known, the
// submission is a duplicate and the answer is the state of that job.
func (c *Controller) rejectMalformed(ctx context.Context, body []byte, err error, origin requestOrigin) answer.Answer {
	rejection := answer.ErrorResponse(http.StatusBadRequest, err.Error())
	id, ok := protocol.SubmissionID(body)
	if !ok {
		return answer.WithoutEvidence(rejection)
	}
	known := c.poll(ctx, id, origin)
	if known.Status != http.StatusNotFound {
		return known
	}
	return answer.Answer{Response: rejection, Evidence: known.Evidence}
}

// poll answers a request for a job's state. A controller that reaches no leader answers a user
// from the records if the key-value store has answered within the lease duration.
func (c *Controller) poll(ctx context.Context, id string, origin requestOrigin) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.WithoutEvidence(noSuchJob())
	}
	if leader := c.activeLeader(); leader != nil {
		return leader.Poll(ctx, id)
	}
	a := c.forward(ctx, origin, protocol.FramePoll, id, nil)
	if origin == fromUser && a.Status == http.StatusServiceUnavailable && !c.peers.Reachable(c.leaderName()) &&
		c.elector.UnansweredFor() < c.elector.LeaseDuration() {
		return c.records().poll(ctx, id)
	}
	return a
}

// cancel answers a request to cancel a job. The leader's answer waits until it is stable enough
// to pass the gate, for writeTimeout at most, the write included.
func (c *Controller) cancel(ctx context.Context, id string, origin requestOrigin) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.WithoutEvidence(noSuchJob())
	}
	if leader := c.activeLeader(); leader != nil {
		until := c.deps.Clock.Steady() + writeTimeout
		a := leader.Cancel(ctx, id)
		c.readGate().Await(ctx, a, until)
		return a
	}
	return c.forward(ctx, origin, protocol.FrameCancel, id, nil)
}

// records returns a reader that answers polls from the records alone.
func (c *Controller) records() recordReader {
	return recordReader{store: c.deps.KV, clock: c.deps.Clock, workers: c.deps.Settings.Fleet.Workers}
}
