package controller

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// runtimeLogInterval is the time between two log lines with statistics of the Go runtime.
// Followers log them too.
const runtimeLogInterval = 10 * units.Second

// logRuntime logs statistics of the Go runtime until ctx ends.
func (c *Controller) logRuntime(ctx context.Context) {
	for loop.Sleep(ctx, runtimeLogInterval) {
		c.deps.Log.Info("runtime statistics", "leading", c.activeLeader() != nil, "runtime", runtimestats.Read())
	}
}
