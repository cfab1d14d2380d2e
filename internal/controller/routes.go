package controller

import (
	"context"
	"log/slog"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// Path and content type of the metrics, which are not part of the protocol.
const (
	pathMetrics        = "/metrics"
	metricsContentType = "text/plain; version=0.0.4"
)

// bodyTooLarge is the error text for a request whose body exceeds protocol.MaxBodyBytes.
const bodyTooLarge = "body over 64 KiB"

// routes registers the HTTP handlers of the controller.
func (c *Controller) routes() {
	c.server.Handle(http.MethodPost, protocol.PathSubmit, func(ctx context.Context, request transport.Request) transport.Response {
		if request.TooLarge {
			return answer.ErrorResponse(http.StatusBadRequest, bodyTooLarge)
		}
		return c.checkedAnswer("submission", c.submit(ctx, request.Body, fromUser))
	})
	c.server.Handle(http.MethodGet, protocol.PathPoll, func(ctx context.Context, request transport.Request) transport.Response {
		return c.checkedAnswer(request.ID, c.poll(ctx, request.ID, fromUser))
	})
	c.server.Handle(http.MethodPost, protocol.PathCancel, func(ctx context.Context, request transport.Request) transport.Response {
		return c.checkedAnswer(request.ID, c.cancel(ctx, request.ID, fromUser))
	})
	c.server.Handle(http.MethodGet, protocol.PathHealth, func(context.Context, transport.Request) transport.Response {
		return c.health()
	})
	c.server.Handle(http.MethodPost, protocol.PathHeartbeat, c.handleHeartbeat)
	c.server.Handle(http.MethodGet, pathMetrics, func(context.Context, transport.Request) transport.Response {
		return transport.Response{Status: http.StatusOK, ContentType: metricsContentType, Body: c.metricsText()}
	})
}

// checkedAnswer returns the response that the gate allows for an answer about a job. It counts
// and logs the answer with its evidence.
func (c *Controller) checkedAnswer(about string, a answer.Answer) transport.Response {
	response := c.readGate().Check(a)
	counters := c.deps.Metrics.Answers
	switch {
	case response.Status != a.Status:
		counters.Held.Inc()
	case a.Evidence.IsTerminal():
		counters.Terminal.Inc()
	case a.Evidence.IsProvisional():
		counters.Provisional.Inc()
	default:
		counters.Other.Inc()
	}
	if c.deps.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.deps.Log.Debug("answer checked", "about", about, "status", response.Status, "computed_status", a.Status,
			"grounds", a.Evidence)
	}
	return response
}

// metricsText returns the metrics of this controller, including those of the leader while it
// leads.
func (c *Controller) metricsText() []byte {
	if leader := c.activeLeader(); leader != nil {
		return c.deps.Metrics.Text(leader.WriteMetrics)
	}
	return c.deps.Metrics.Text()
}
