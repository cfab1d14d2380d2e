// Package scheduler decides which tasks start on which machines.
//
// A scheduling cycle (cycle.go) reads from top to bottom as its files do:
//
//   - snapshot.go copies what the decisions depend on from the state into the views of
//     views.go. With it, rank.go ranks the jobs by the policy, patience.go marks those that
//     have waited too long or should go on waiting, headroom.go reserves free capacity for
//     replicas of services, and eviction.go stops what would be lost with its machine.
//   - planner.go plans on the snapshot, as a pure function: order.go sorts the jobs, filter.go
//     says why a job is not placed on a machine, score.go ranks the machines that are left,
//     place.go assigns tasks to them, preemption.go and victims.go choose what is stopped for
//     the job, and reserve.go keeps free capacity together for it.
//   - apply.go applies the decisions to the state.
//
// Between two cycles, onemachine.go plans for the one machine whose heartbeat is answered.
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
	State    *cluster.State
	Detector *failuredetector.Detector
	Pusher   *push.CommandPusher
	Settings *config.Settings
	Policy   *config.Policy
	Clock    units.Clock
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
	Tracer   cluster.AttemptTracer
	// Token is the leader's fencing token. Machines that have not seen it get no work.
	Token       uint64
	WriteSignal loop.Signal // wakes the persister
}

// Scheduler decides which tasks start on which machine. It plans on a snapshot of the state
// and applies the decisions to the state. Its fields are guarded by the lock of State, and
// its methods need that lock held. Make it with New.
type Scheduler struct {
	Deps

	lastCycle units.Micros // when the last cycle ended, by the steady clock
	// CycleCost is the moving mean of how long a cycle takes.
	CycleCost units.Micros
	queue     []queuedJob // waiting jobs as the last cycle saw them, in their order
	// reservations holds the machines whose free capacity the last cycle keeps together, and
	// for which job.
	reservations map[*cluster.Machine]*cluster.Job
	// allMachinesConsidered: the last cycle considered every machine for each waiting job.
	allMachinesConsidered bool
	// headroom is the free capacity that the last cycle reserved for replicas of services.
	headroom map[*cluster.Machine]units.Resources
}

// New returns a scheduler that has not run a cycle yet.
func New(deps Deps) *Scheduler {
	return &Scheduler{
		Deps:         deps,
		reservations: map[*cluster.Machine]*cluster.Job{},
		headroom:     map[*cluster.Machine]units.Resources{},
	}
}
