package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// heartbeat answers a worker. Without the right to command the answer names the
// leader, if it is known and is another node.
func (c *Controller) heartbeat(ctx context.Context, r transport.Request) transport.Response {
	if r.TooLarge {
		return answer.ErrorResponse(http.StatusBadRequest, "body over 64 KiB")
	}
	slot := c.heartbeatLimiter.acquire(ctx)
	if slot == nil {
		return answer.Unavailable("the node ends").Response
	}
	defer slot.release()
	report, err := c.heartbeatReader.Parse(r.Body)
	if err != nil {
		return answer.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	c.lastHeartbeat.Store(int64(c.deps.Clock.Steady()))
	t := c.activeLeader()
	if t == nil {
		return transport.Response{
			Status: http.StatusMisdirectedRequest,
			Body:   protocol.Encode(protocol.LeaderRedirect{Leader: c.redirectTarget()}),
		}
	}
	response, ok := t.Heartbeat(ctx, report, slot)
	if !ok || !t.leadership.Valid() {
		return answer.Unavailable("no right to command, or an old report").Response
	}
	return transport.Response{Status: http.StatusOK, Body: protocol.Encode(response)}
}
