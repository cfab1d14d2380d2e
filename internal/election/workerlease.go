package election

import (
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// workerLeaseMargin covers the way of a heartbeat and of its response.
const workerLeaseMargin = 500 * units.Millisecond

// WorkerLeaseBound returns how long a machine's tasks may run on after its last answered
// heartbeat arrived at this controller, by any machine's clock.
func WorkerLeaseBound(w config.Workers) units.Micros {
	return WithDrift(w.LeaseDuration(), workerLeaseMargin)
}

// ConfirmsCancellationWhenDurable reports whether a user may be told of a cancellation as soon
// as it is durable. From then on every controller that prolongs a worker's lease knows of it:
// the leader that stored it had noted it before, former leaders have no lease any more, and
// later ones answer no worker before they have read the records. So a task that no command
// reaches ends with the worker's lease, and that must be within cancel_s. Otherwise the user is
// told once nothing of the job is left on any machine.
func ConfirmsCancellationWhenDurable(w config.Workers) bool {
	return WorkerLeaseBound(w) <= w.CancelBound()
}
