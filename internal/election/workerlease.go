package election

import (
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// workerLeaseMargin allows for the network delay of a heartbeat and of its response.
const workerLeaseMargin = 500 * units.Millisecond

// WorkerLeaseBound returns the longest time, by any machine's clock, for which a machine's tasks
// can continue to run after its last acknowledged heartbeat arrived at this controller.
func WorkerLeaseBound(w config.Workers) units.Micros {
	return WithDrift(w.LeaseDuration(), workerLeaseMargin)
}

// FailoverTime returns the longest time, by any controller's clock, from the failure of a leader to the
// election of the next one if the key-value store and another controller work.
func FailoverTime(w config.Workers) units.Micros {
	timing := TimingFor(w.LeaseDuration())
	return WithDrift(timing.Duration, timing.CampaignMargin) + timing.PollEvery + leasePollJitter
}

// ConfirmsCancellationWhenDurable reports whether a cancellation may be confirmed to the user as
// soon as it is durable. From then on every controller that renews a worker's lease knows of the
// cancellation: the leader that stored it knew it before, former leaders no longer hold the
// leader lease, and later leaders respond to no worker before they have read the records. So a task
// that no stop command reaches ends when its worker's lease expires, which must be within
// cancel_s. Otherwise the cancellation is confirmed once no machine runs any task of the job.
func ConfirmsCancellationWhenDurable(w config.Workers) bool {
	return WorkerLeaseBound(w) <= w.CancelBound()
}
