// Package scheduler decides which tasks start on which machines. A scheduling cycle takes a
// snapshot of the state, plans on it as a pure function (order of jobs, bin packing,
// reservations, preemption), and applies the outcome to the state.
package scheduler

import (
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/push"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Deps is what a Scheduler works with.
type Deps struct {
	State       *cluster.State
	Detector    *failuredetector.Detector
	Pusher      *push.CommandPusher
	Settings    *config.Settings
	Policy      *config.Policy
	Clock       units.Clock
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
	Tracer      cluster.AttemptTracer
	Token       uint64
	WriteSignal loop.Signal
}

// Scheduler decides which tasks start on which machine. It plans on a snapshot of the state
// and applies the outcome to the state. Its fields are guarded by the lock of state, and
// its methods need that lock held.
type Scheduler struct {
	Deps

	lastCycle units.Micros
	CycleCost units.Micros // moving mean
	queue     []queuedJob  // waiting jobs as the last cycle saw them
	// reservations holds the machines whose free room the last cycle keeps together, and
	// for which job.
	reservations map[*cluster.Machine]*cluster.Job
	// allMachinesConsidered: the last cycle left no machine out for what waits.
	allMachinesConsidered bool
	headroom              map[*cluster.Machine]units.Resources // free room that the last cycle kept for replicas
}

func New(deps Deps) *Scheduler {
	return &Scheduler{
		Deps:         deps,
		reservations: map[*cluster.Machine]*cluster.Job{},
		headroom:     map[*cluster.Machine]units.Resources{},
	}
}
