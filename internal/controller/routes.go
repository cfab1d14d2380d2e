package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

func (c *Controller) routes() {
	s := c.server
	s.Handle(http.MethodPost, protocol.PathSubmit, func(ctx context.Context, r transport.Request) transport.Response {
		if r.TooLarge {
			return answer.ErrorResponse(http.StatusBadRequest, "body over 64 KiB")
		}
		return c.gate().Check(c.submit(ctx, r.Body, true))
	})
	s.Handle(http.MethodGet, protocol.PathPoll, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().Check(c.poll(ctx, r.ID, true))
	})
	s.Handle(http.MethodPost, protocol.PathCancel, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().Check(c.cancel(ctx, r.ID, true))
	})
	s.Handle(http.MethodGet, protocol.PathHealth, func(context.Context, transport.Request) transport.Response {
		return c.health()
	})
	s.Handle(http.MethodPost, protocol.PathHeartbeat, c.heartbeat)
	s.Handle(http.MethodGet, "/metrics", func(context.Context, transport.Request) transport.Response {
		return transport.Response{
			Status:      http.StatusOK,
			ContentType: "text/plain; version=0.0.4",
			Body:        c.metricsText(),
		}
	})
}

// metricsText returns this node's metrics, those of the leader included while it leads.
func (c *Controller) metricsText() []byte {
	if l := c.activeLeader(); l != nil {
		return c.deps.Metrics.Text(l.WriteMetrics)
	}
	return c.deps.Metrics.Text()
}

// gate is what every answer about a job passes on its way out.
func (c *Controller) gate() answer.Gate {
	return answer.Gate{Clock: c.deps.Clock, Revisions: c.deps.KV.Revisions}
}
