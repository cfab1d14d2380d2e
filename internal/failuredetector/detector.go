// Package failuredetector judges by missed heartbeats which machines are lost, and whether
// this controller itself is cut off or falls behind.
package failuredetector

import (
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/loop"
	"dunestand/internal/units"
)

// Deps is what a Detector works with.
type Deps struct {
	State            *cluster.State
	Leadership       election.Leadership
	Settings         *config.Settings
	Clock            units.Clock
	Log              *slog.Logger
	ElectedAt        units.Micros
	UnreachablePeers func() int
	PeerReachable    func() bool
	WriteSignal      loop.Signal
}

// Detector judges by their heartbeats which machines are lost, and by the heartbeats of all
// of them whether this controller itself is cut off or too slow to lead. Its fields are
// guarded by the lock of state, and its methods need that lock held.
type Detector struct {
	Deps

	maxUnreachablePeers int          // the most controllers that were unreachable at a time
	judgeSilenceFrom    units.Micros // this controller was late itself: until then no machine is judged
	allReconciled       bool         // it is known what every machine holds
}

func New(deps Deps) *Detector {
	return &Detector{
		Deps: deps,
	}
}

// What the silence of machines is measured by. Reports come a quarter of their interval
// early or late.
const (
	reconnectTime           = 1500 * units.Millisecond // what a lost connection costs a worker
	unansweredHeartbeatTime = 5 * units.Second         // what a report without an answer does
	heartbeatLossMargin     = 1200 * units.Millisecond // beyond one and a half reports
	workerReturnTime        = 4 * units.Second         // for workers to find a new leader
)

// SuspectAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs, or, where reports
// come seldom, one report and what one costs that gets no answer (the worker
// waits 4 s and turns to the next node a second later).
func (d *Detector) SuspectAfter() units.Micros {
	report := d.Settings.Fleet.Workers.Report()
	return min(report.Share(5, 2)+reconnectTime, report.Share(5, 4)+unansweredHeartbeatTime)
}

// WorkerLease is how long a machine may go on after its last answered report came
// in, by this node's clock.
func (d *Detector) WorkerLease() units.Micros {
	return election.WorkerLeaseBound(d.Settings.Fleet.Workers)
}

// AllReconciled reports whether it is known what every machine holds.
func (d *Detector) AllReconciled() bool { return d.allReconciled }
