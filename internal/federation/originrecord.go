package federation

// OriginPhase is the state of a transfer at its origin.
type OriginPhase uint8

// The phases at the origin. docs/federation.md has the table of all transitions.
const (
	// OriginIntended means that the origin starts no task of the job and has requested a
	// reservation from the target.
	OriginIntended OriginPhase = iota + 1
	// OriginCommitted means that the target may accept the job and run it while it holds a
	// lease.
	OriginCommitted
	// OriginRevoking means that the origin grants no more leases and waits for a refusal by
	// the target, or until the lease and the grace period have expired.
	OriginRevoking
	// OriginReturned means that the origin runs the job again. The record is kept until the
	// target has refused the transfer.
	OriginReturned
	// OriginFinished means that all tasks are done.
	OriginFinished
	// OriginWithdrawn means that the job was cancelled, or reached a terminal state at its
	// origin after it had returned. No task of it runs at the target.
	OriginWithdrawn
	originPhaseCount
)

var originPhaseNames = [originPhaseCount]string{
	OriginIntended:  "intended",
	OriginCommitted: "committed",
	OriginRevoking:  "revoking",
	OriginReturned:  "returned",
	OriginFinished:  "finished",
	OriginWithdrawn: "withdrawn",
}

// String returns the name of the phase, as used in logs and in docs/federation.md.
func (p OriginPhase) String() string { return enumName(originPhaseNames[:], "phase", uint8(p)) }

// RevokeCause is the reason for which the origin revokes a transfer.
type RevokeCause uint8

// The causes of a revocation.
const (
	// CauseNone means that the transfer is not revoked.
	CauseNone RevokeCause = iota
	// CauseTargetSilent means that the target has sent no renewal request for too long.
	CauseTargetSilent
	// CauseCancelled means that the user cancelled the job.
	CauseCancelled
	causeCount
)

var causeNames = [causeCount]string{
	CauseNone:         "none",
	CauseTargetSilent: "target silent",
	CauseCancelled:    "cancelled",
}

// String returns the name of the cause.
func (c RevokeCause) String() string { return enumName(causeNames[:], "cause", uint8(c)) }

// OriginRecord is the record of a transfer stored at the origin, and the state machine of the
// origin. Each event is a method that returns a Decision and does not modify the receiver.
type OriginRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Target   string      `cbor:"to"` // name of the target cell
	Phase    OriginPhase `cbor:"phase"`
	Cause    RevokeCause `cbor:"cause,omitempty"`
	// MaxRestarts is the restart limit of the job's class. Restarts is the number of restarts
	// before this transfer.
	MaxRestarts int `cbor:"allowed"`
	Restarts    int `cbor:"reruns"`
	// Run is the number of the last run granted to the target, 0 if none was.
	Run int `cbor:"run"`
	// Confirmed is set once the target has confirmed that no task of the job runs there or
	// will run there. The target stores that before it sends the confirmation.
	Confirmed bool `cbor:"heard,omitempty"`
	// Job is the job description as submitted by the user. Work is the capacity that the job
	// needs.
	Job  []byte  `cbor:"job"`
	Work Work    `cbor:"work"`
	Done TaskSet `cbor:"done,omitempty"` // tasks completed by the target
}

// Owner identifies the cell that may start tasks of a job.
type Owner uint8

// The owners.
const (
	// OwnerNone means that currently no cell may start tasks.
	OwnerNone Owner = iota
	// OwnerOrigin means that the origin may start tasks.
	OwnerOrigin
	// OwnerTarget means that the target may start tasks while it holds a lease.
	OwnerTarget
	// OwnerEnded means that the job is in a terminal state and no cell may start tasks.
	OwnerEnded
	ownerCount
)

var ownerNames = [ownerCount]string{
	OwnerNone:   "none",
	OwnerOrigin: "origin",
	OwnerTarget: "target",
	OwnerEnded:  "ended",
}

// String returns the name of the owner.
func (o Owner) String() string { return enumName(ownerNames[:], "owner", uint8(o)) }

// Owner returns the cell that may start tasks of the job.
func (r OriginRecord) Owner() Owner {
	switch r.Phase {
	case OriginCommitted:
		return OwnerTarget
	case OriginReturned:
		return OwnerOrigin
	case OriginFinished:
		return OwnerEnded
	case OriginWithdrawn:
		if r.Cause == CauseCancelled {
			return OwnerEnded
		}
		return OwnerOrigin // the origin's own job record has the terminal state
	}
	return OwnerNone
}

// unbounded reports whether the last granted run is the last one that the class allows. The
// lease on such a run never expires, since a job that may not be restarted must not be stopped
// by a partition.
func (r OriginRecord) unbounded() bool { return r.Run > 0 && r.Restarts+r.Run-1 >= r.MaxRestarts }

// canReclaim reports whether the job is committed and its class allows the origin to restart
// it. Starting a job that never ran at the target is no restart.
func (r OriginRecord) canReclaim() bool {
	return r.Phase == OriginCommitted && (r.Run == 0 || r.Restarts+r.Run <= r.MaxRestarts)
}

// NextRestarts returns the restart count of the job after the origin has restarted it. The next
// transfer begins with it as TransferRequest.Restarts.
func (r OriginRecord) NextRestarts() int { return r.Restarts + r.Run }

// Removable reports whether the target has confirmed that it runs no task of the job, so that
// the record may be deleted once the scheduler has stored the outcome of the transfer.
func (r OriginRecord) Removable() bool {
	return r.Confirmed && (r.Phase == OriginReturned || r.Phase == OriginFinished || r.Phase == OriginWithdrawn)
}
