package cluster

import (
	"context"
	"log/slog"
)

// AttemptTracer logs the steps of attempts. There are hundreds a second in a large fleet,
// so nothing is formatted for a line that would be dropped.
type AttemptTracer struct {
	log     *slog.Logger
	enabled bool
}

// NewAttemptTracer returns a tracer that logs at debug level, if the log has it on.
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
