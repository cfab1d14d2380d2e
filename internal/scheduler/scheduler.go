// Package scheduler decides which tasks start on which machines.
//
// The files of the package follow the steps of a scheduling cycle (cycle.go):
//
//   - snapshot.go copies the state that the decisions depend on into the views of views.go.
//     In this step rank.go ranks the jobs by the policy, waiting.go marks the jobs that are
//     starved and those that wait for running tasks to complete, headroom.go reserves free
//     capacity for replicas of services, and eviction.go stops tasks on machines that are
//     about to terminate.
//   - planner.go plans on the snapshot, as a pure function: order.go sorts the jobs, filter.go
//     excludes jobs and machines, score.go ranks the candidate machines, place.go assigns
//     tasks to them, preemption.go and victims.go choose the tasks to preempt for the job, and
//     reserve.go reserves machines for it.
//   - apply.go applies the decisions to the state.
//
// Between two cycles, onemachine.go plans for a single machine while its heartbeat is being
// handled. For the autoscaler, unplaceable.go finds the waiting tasks that no machine has room for.
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

// Deps holds the dependencies of a Scheduler.
type Deps struct {
	State    *cluster.State
	Detector *failuredetector.Detector
	Pusher   *push.CommandPusher
	Settings *config.Settings
	Policy   *config.Policy
	Clock    units.Clock
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
	Tracer   cluster.AttemptTracer
	// Token is the leader's fencing token. Machines whose heartbeats have not shown it get no
	// work.
	Token       uint64
	WriteSignal loop.Signal // wakes the persister
}

// Scheduler decides which tasks start on which machine. It plans on a snapshot of the state
// and applies the decisions to the state. The lock of State guards its fields, and callers
// must hold that lock when they call its methods. Create one with New.
type Scheduler struct {
	Deps

	lastCycle units.Micros // steady time at which the last cycle ended
	// CycleCost is the moving mean of the duration of a cycle.
	CycleCost units.Micros
	queue     []queuedJob // jobs that waited in the last cycle, in scheduling order
	// reservations maps each machine that the last cycle reserved to the job that it is
	// reserved for.
	reservations map[*cluster.Machine]*cluster.Job
	// allMachinesConsidered reports whether the last cycle considered every machine for each
	// waiting job, that is, whether it did not end at MaxPlacements.
	allMachinesConsidered bool
	// headroom is the free capacity that the last cycle reserved for replicas of services.
	headroom map[*cluster.Machine]units.Resources
}

// New returns a scheduler that has not run a cycle.
func New(deps Deps) *Scheduler {
	return &Scheduler{
		Deps:         deps,
		reservations: map[*cluster.Machine]*cluster.Job{},
		headroom:     map[*cluster.Machine]units.Resources{},
	}
}
