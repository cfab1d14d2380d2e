// Package failuredetector judges by missed heartbeats which machines are lost, and whether
// this controller itself is cut off or falls behind.
//
// lostmachines.go judges machines by the heartbeats that are missing, leases.go drops what
// they held once their leases have expired, isolation.go judges whether this controller is cut
// off, and delay.go whether it falls behind.
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
	State      *cluster.State
	Leadership election.Leadership
	Settings   *config.Settings
	Clock      units.Clock
	Log        *slog.Logger
	ElectedAt  units.Micros // steady time at which this leader was elected
	// UnreachablePeers counts the other controllers that cannot be reached.
	UnreachablePeers func() int
	// PeerReachable reports whether any other controller can be reached.
	PeerReachable func() bool
	WriteSignal   loop.Signal // wakes the persister
}

// Detector judges by their heartbeats which machines are lost, and by the heartbeats of all
// of them whether this controller itself is cut off or too slow to lead. Its fields are
// guarded by the lock of State. Its methods need that lock held, but for MonitorDelay and
// NoteDelay, which take it. Make it with New.
type Detector struct {
	Deps

	maxUnreachablePeers int          // the most controllers that were unreachable at a time
	judgeSilenceFrom    units.Micros // this controller was late itself: until then no machine is judged
	allReconciled       bool         // it is known what every machine holds
}

// New returns a detector that has judged nothing yet.
func New(deps Deps) *Detector {
	return &Detector{
		Deps: deps,
	}
}

// What the silence of machines is measured by.
const (
	reconnectTime           = 1500 * units.Millisecond // what a lost connection costs a worker
	unansweredHeartbeatTime = 5 * units.Second         // what a heartbeat without a response costs it
)

// latestHeartbeat returns the longest time between two heartbeats of a machine: they come up
// to a quarter of their interval early or late.
func (d *Detector) latestHeartbeat() units.Micros {
	return d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(5, 4)
}

// SuspectAfter returns how long a machine may be silent before it is suspected to be
// lost: two heartbeats and what a lost connection costs, or, where heartbeats
// come seldom, one heartbeat and what one costs that gets no response (the worker
// waits 4 s and turns to the next controller a second later).
func (d *Detector) SuspectAfter() units.Micros {
	twoHeartbeats := d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(5, 2)
	return min(twoHeartbeats+reconnectTime, d.latestHeartbeat()+unansweredHeartbeatTime)
}

// WorkerLease returns how long a machine may go on after its last answered heartbeat came
// in, by this controller's clock.
func (d *Detector) WorkerLease() units.Micros {
	return election.WorkerLeaseBound(d.Settings.Fleet.Workers)
}

// AllReconciled reports whether it is known what every machine holds.
func (d *Detector) AllReconciled() bool { return d.allReconciled }
