package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// handleHeartbeat answers a worker's heartbeat. A follower answers with a redirect that names
// the leader if the leader is known and is another controller.
func (c *Controller) handleHeartbeat(ctx context.Context, request transport.Request) transport.Response {
	if request.TooLarge {
		return answer.ErrorResponse(http.StatusBadRequest, bodyTooLarge)
	}
	slot := c.heartbeatLimiter.acquire(ctx)
	if slot == nil {
		return answer.Unavailable("the node ends").Response
	}
	defer slot.release()
	heartbeat, err := c.heartbeatReader.Parse(request.Body)
	if err != nil {
		return answer.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	c.lastHeartbeatAt.Store(int64(c.deps.Clock.Steady()))
	leader := c.activeLeader()
	if leader == nil {
		return transport.Response{
			Status: http.StatusMisdirectedRequest,
			Body:   protocol.Encode(protocol.LeaderRedirect{Leader: c.redirectTarget()}),
		}
	}
	response, err := leader.Heartbeat(ctx, heartbeat, slot)
	if err != nil || !leader.leadership.Valid() {
		return answer.Unavailable("no right to command, or an old report").Response
	}
	return transport.Response{Status: http.StatusOK, Body: protocol.Encode(response)}
}
