package controller

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// runtimeLogEvery is the pace of the log line with the runtime's figures. Every node
// writes it, leader or not.
const runtimeLogEvery = 10 * units.Second

// logRuntime logs the runtime's figures until ctx ends.
func (c *Controller) logRuntime(ctx context.Context) {
	for loop.Sleep(ctx, runtimeLogEvery) {
		c.deps.Log.Info("process", "leading", c.activeLeader() != nil, "runtime", runtimestats.Read())
	}
}
