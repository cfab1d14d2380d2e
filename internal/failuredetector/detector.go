// Package failuredetector decides from missing heartbeats which machines are lost, and whether this
// controller itself is isolated or overloaded.
//
// lostmachines.go finds lost machines, cancellations.go those that must be released because they may hold
// cancelled tasks, leases.go drops the attempts of machines whose leases have expired, isolation.go detects that this controller is isolated from the workers, and delay.go that
// it runs too slowly to lead.
package failuredetector

import (
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/loop"
	"dunestand/internal/units"
)

// Deps holds the dependencies of a Detector.
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

// Detector decides which machines are lost, and whether this controller is isolated or too slow to
// lead. The lock of State guards its fields. Callers of its methods must hold that lock, except
// for MonitorDelay and RecordDelay, which acquire it. Create it with New.
type Detector struct {
	Deps

	maxUnreachablePeers int          // highest number of peers that were unreachable at the same time
	reportLostFrom      units.Micros // steady time before which no machine is reported as lost, see RecordDelay
	allReconciled       bool         // no machine is unreconciled any more
}

// New returns a detector for a leader that has just been elected.
func New(deps Deps) *Detector {
	return &Detector{
		Deps: deps,
	}
}

// Delays of a worker's next heartbeat that SuspectAfter tolerates.
const (
	reconnectTime    = 1500 * units.Millisecond // after the connection to the leader was lost
	lostResponseTime = 5 * units.Second         // after a heartbeat that got no response
)

// maxHeartbeatInterval returns the longest time between two heartbeats of a machine. Workers vary the
// configured interval by up to a quarter of it.
func (d *Detector) maxHeartbeatInterval() units.Micros {
	return d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(5, 4)
}

// SuspectAfter returns the time without a heartbeat after which a machine is suspected to be lost.
// It covers two intervals and a lost connection or, if that is shorter, one interval and a
// heartbeat without a response: the worker then waits 4 s and tries the next controller 1 s later.
func (d *Detector) SuspectAfter() units.Micros {
	twoHeartbeats := d.Settings.Fleet.Workers.HeartbeatInterval().Fraction(5, 2)
	return min(twoHeartbeats+reconnectTime, d.maxHeartbeatInterval()+lostResponseTime)
}

// WorkerLease returns the time after which the lease of a machine has certainly expired. It counts
// from the arrival of the machine's last acknowledged heartbeat, by this controller's clock.
func (d *Detector) WorkerLease() units.Micros {
	return election.WorkerLeaseBound(d.Settings.Fleet.Workers)
}

// AllReconciled reports whether all machines are reconciled since the election, so that the state
// holds every attempt that may run.
func (d *Detector) AllReconciled() bool { return d.allReconciled }
