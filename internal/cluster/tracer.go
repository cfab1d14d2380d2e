package cluster

import (
	"context"
	"log/slog"
)

// AttemptTracer logs the steps of attempts at debug level. A large fleet has hundreds of steps
// per second, so it formats nothing while the debug level is disabled.
type AttemptTracer struct {
	log     *slog.Logger
	enabled bool
}

// NewAttemptTracer returns a tracer that logs if the logger has the debug level enabled at the
// time of the call.
func NewAttemptTracer(log *slog.Logger) AttemptTracer {
	return AttemptTracer{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug)}
}

// Enabled reports whether steps are logged.
func (t AttemptTracer) Enabled() bool { return t.enabled }

// Trace logs a step of an attempt.
func (t AttemptTracer) Trace(step string, a *Attempt) {
	if t.enabled {
		t.log.Debug(step, "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID)
	}
}
