package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
)

// requestOrigin says who sent a request.
type requestOrigin uint8

const (
	fromUser requestOrigin = iota // it may be forwarded to the leader
	fromPeer                      // another controller has forwarded it: it is not forwarded again
)

// submit answers a user's submission. A controller that does not lead forwards it, and may accept
// the job by itself if no leader is in reach.
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

// rejectMalformed answers a submission that cannot be parsed, unless its job is known: a job
// that is known stays known, whatever else a duplicate says.
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

// poll answers a user who asks for a job's state. A controller that reaches no leader, but has
// lately reached the key-value store, answers from the records.
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

// cancel answers a user who cancels a job. The leader waits, within the bound of the write,
// until the answer is stable enough to pass the gate.
func (c *Controller) cancel(ctx context.Context, id string, origin requestOrigin) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.WithoutEvidence(noSuchJob())
	}
	if leader := c.activeLeader(); leader != nil {
		until := c.deps.Clock.Steady() + writeTimeout
		a := leader.Cancel(ctx, id)
		c.gate().Await(ctx, a, until)
		return a
	}
	return c.forward(ctx, origin, protocol.FrameCancel, id, nil)
}

// records returns a reader that answers polls from the records alone.
func (c *Controller) records() recordReader {
	return recordReader{store: c.deps.KV, clock: c.deps.Clock, workers: c.deps.Settings.Fleet.Workers}
}
