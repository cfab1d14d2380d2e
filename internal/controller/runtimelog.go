package controller

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// runtimeLogInterval is the time between log lines with the runtime's figures. Every node
// writes them, leader or not.
const runtimeLogInterval = 10 * units.Second

// logRuntime logs the runtime's figures until ctx ends.
func (c *Controller) logRuntime(ctx context.Context) {
	for loop.Sleep(ctx, runtimeLogInterval) {
		c.deps.Log.Info("process", "leading", c.activeLeader() != nil, "runtime", runtimestats.Read())
	}
}
