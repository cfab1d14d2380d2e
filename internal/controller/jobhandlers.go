package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
)

func (c *Controller) submit(ctx context.Context, body []byte, forward bool) answer.Answer {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		// A job that is known stays known, whatever else a repeat says.
		if id, ok := protocol.SubmissionID(body); ok {
			known := c.poll(ctx, id, forward)
			if known.Status != http.StatusNotFound {
				return known
			}
			return answer.Answer{Response: answer.ErrorResponse(http.StatusBadRequest, err.Error()), Evidence: known.Evidence}
		}
		return answer.Plain(answer.ErrorResponse(http.StatusBadRequest, err.Error()))
	}
	var r answer.Answer
	if t := c.activeLeader(); t == nil {
		r = c.forward(ctx, forward, protocol.FrameSubmit, "", body)
	} else if r = t.Submit(ctx, spec); t.Ready() {
		return r
	}
	if forward && r.Status == http.StatusServiceUnavailable {
		return c.acceptWithoutLeader(ctx, spec, r)
	}
	c.leaderless.acceptedBytes.Store(0)
	return r
}

func (c *Controller) poll(ctx context.Context, id string, forward bool) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.Plain(answer.ErrorResponse(http.StatusNotFound, "no such job"))
	}
	if t := c.activeLeader(); t != nil {
		return t.Poll(ctx, id)
	}
	r := c.forward(ctx, forward, protocol.FramePoll, id, nil)
	if forward && r.Status == http.StatusServiceUnavailable && !c.peers.Reachable(c.leaderName()) &&
		c.elector.UnansweredFor() < c.elector.LeaseDuration() {
		return c.records().poll(ctx, id)
	}
	return r
}

func (c *Controller) cancel(ctx context.Context, id string, forward bool) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.Plain(answer.ErrorResponse(http.StatusNotFound, "no such job"))
	}
	if t := c.activeLeader(); t != nil {
		until := c.deps.Clock.Steady() + writeWaitTimeout
		a := t.Cancel(ctx, id)
		c.gate().Await(ctx, a, until)
		return a
	}
	return c.forward(ctx, forward, protocol.FrameCancel, id, nil)
}

func (c *Controller) records() recordReader {
	return recordReader{store: c.deps.KV, clock: c.deps.Clock, workers: c.deps.Settings.Fleet.Workers}
}
