package controller

import (
	"context"

	"dunestand/internal/answer"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// forward passes a request on to the leader, once: a request that came from
// another controller is not passed on again. A leader that has not answered for
// a while is not waited for.
func (c *Controller) forward(ctx context.Context, allowed bool, kind protocol.FrameKind, id string, body []byte) answer.Answer {
	if leader := c.leaderName(); allowed && leader != c.deps.Settings.Node && c.peers.Reachable(leader) {
		sent := c.deps.Clock.Steady()
		r, err := c.peers.Forward(ctx, leader, kind, id, body)
		if err == nil {
			c.deps.Log.Debug("request passed on", "leader", leader, "kind", kind.String(), "status", r.Status,
				"took_us", int64(c.deps.Clock.Steady()-sent))
			return answer.Relayed(r, sent)
		}
		c.deps.Log.Debug("request not passed on", "leader", leader, "job", id, "error", err)
	}
	return answer.Unavailable("no leader in reach")
}

func (c *Controller) answerPeer(ctx context.Context, data []byte) ([]byte, error) {
	leading := ""
	if c.activeLeader() != nil {
		leading = c.deps.Settings.Node
	}
	return peers.AnswerFrame(ctx, data, leading, func(ctx context.Context, f protocol.Frame) transport.Response {
		var a answer.Answer
		switch f.Kind {
		case protocol.FrameSubmit:
			a = c.submit(ctx, f.Body, false)
		case protocol.FramePoll:
			a = c.poll(ctx, f.Job, false)
		default:
			a = c.cancel(ctx, f.Job, false)
		}
		return c.gate().Check(a)
	})
}

// redirectTarget names the node that workers should report to, "" if it is not
// known. A leader that refuses this node's links may serve workers all the
// same; the record tells while it is renewed.
func (c *Controller) redirectTarget() string {
	leader := c.leaderName()
	if leader == c.deps.Settings.Node || !c.peers.Reachable(leader) && !(c.peers.RefusesConnections(leader) && c.elector.SeesRenewals()) {
		return ""
	}
	return leader
}
