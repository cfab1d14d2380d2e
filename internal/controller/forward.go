package controller

import (
	"context"

	"dunestand/internal/answer"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// forward sends a request to the leader. It answers that no leader is reachable if the request
// was already forwarded by another controller, which prevents loops, or if the leader has
// stopped answering.
func (c *Controller) forward(ctx context.Context, origin requestOrigin, kind protocol.FrameKind, id string, body []byte) answer.Answer {
	leader := c.leaderName()
	if origin == fromPeer || leader == c.deps.Settings.Name || !c.peers.Reachable(leader) {
		return answer.Unavailable("no leader in reach")
	}
	sentAt := c.deps.Clock.Steady()
	response, err := c.peers.Forward(ctx, leader, kind, id, body)
	if err != nil {
		c.deps.Log.Debug("request not forwarded", "leader", leader, "job", id, "error", err)
		return answer.Unavailable("no leader in reach")
	}
	c.deps.Log.Debug("request forwarded", "leader", leader, "kind", kind.String(), "status", response.Status,
		"took_us", int64(c.deps.Clock.Steady()-sentAt))
	return answer.Forwarded(response, sentAt)
}

// servePeer answers a frame from another controller: a ping or a forwarded request.
func (c *Controller) servePeer(ctx context.Context, data []byte) ([]byte, error) {
	leading := ""
	if c.activeLeader() != nil {
		leading = c.deps.Settings.Name
	}
	return peers.RespondToFrame(ctx, data, leading, func(ctx context.Context, frame protocol.Frame) transport.Response {
		var a answer.Answer
		switch frame.Kind {
		case protocol.FrameSubmit:
			a = c.submit(ctx, frame.Body, fromPeer)
		case protocol.FramePoll:
			a = c.poll(ctx, frame.Job, fromPeer)
		default:
			a = c.cancel(ctx, frame.Job, fromPeer)
		}
		return c.readGate().Check(a)
	})
}

// redirectTarget returns the name of the controller to which workers should send their
// heartbeats, or "" if it is unknown. Workers may reach a leader that refuses this controller's
// connections, so that leader is returned while its lease record is seen to be renewed.
func (c *Controller) redirectTarget() string {
	leader := c.leaderName()
	if leader == c.deps.Settings.Name || !c.peers.Reachable(leader) && !(c.peers.RefusesConnections(leader) && c.elector.SeesRenewals()) {
		return ""
	}
	return leader
}
