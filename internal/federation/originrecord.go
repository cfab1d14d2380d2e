package federation

// OriginPhase is the state of a transfer at its origin.
type OriginPhase uint8

// The phases at the origin. docs/federation.md has the table of all steps.
const (
	// OriginIntended: the origin starts no task of the job, and asks the target for a reservation.
	OriginIntended OriginPhase = iota + 1
	// OriginCommitted: the target may accept the job, and run it while it holds a lease.
	OriginCommitted
	// OriginRevoking: no lease is granted any more; the origin waits for the target's
	// refusal, or for the time after which nothing of the job can run there.
	OriginRevoking
	// OriginReturned: the origin runs the job again. The record stays until the target has
	// refused the transfer.
	OriginReturned
	// OriginFinished: all tasks are done.
	OriginFinished
	// OriginWithdrawn: the job was cancelled, or ended at its origin after it had returned;
	// nothing of it runs at the target.
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

// String returns the name of the phase, as docs/federation.md has it.
func (p OriginPhase) String() string { return enumName(originPhaseNames[:], "phase", uint8(p)) }

// RevokeCause is why a transfer is revoked.
type RevokeCause uint8

// The causes of a revocation.
const (
	// CauseNone: the transfer is not revoked.
	CauseNone RevokeCause = iota
	// CauseTargetSilent: the target has not asked for a grant for too long.
	CauseTargetSilent
	// CauseCancelled: the job's user cancelled it.
	CauseCancelled
	causeCount
)

var causeNames = [causeCount]string{
	CauseNone:         "none",
	CauseTargetSilent: "target silent",
	CauseCancelled:    "cancelled",
}

func (c RevokeCause) String() string { return enumName(causeNames[:], "cause", uint8(c)) }

// OriginRecord is what the origin stores of a transfer, and its state machine: each event
// is a method that returns a Decision and leaves the record as it is.
type OriginRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Target   string      `cbor:"to"` // name of the target cell
	Phase    OriginPhase `cbor:"phase"`
	Cause    RevokeCause `cbor:"cause,omitempty"`
	// MaxRestarts is how often the job's class allows the job to be restarted; Restarts is
	// how often it was before this transfer.
	MaxRestarts int `cbor:"allowed"`
	Restarts    int `cbor:"reruns"`
	// Run is the last run that was granted to the target, 0: none.
	Run int `cbor:"run"`
	// Confirmed is set once the target has stated, durably, that no task of the job runs
	// there and none will.
	Confirmed bool `cbor:"heard,omitempty"`
	// Job is the job's description as its user sent it, Work the capacity it takes.
	Job  []byte  `cbor:"job"`
	Work Work    `cbor:"work"`
	Done TaskSet `cbor:"done,omitempty"` // tasks that the target has completed
}

// Owner is which cell may start tasks of a job.
type Owner uint8

// The owners.
const (
	// OwnerNone: no cell may now.
	OwnerNone Owner = iota
	// OwnerOrigin: the origin may.
	OwnerOrigin
	// OwnerTarget: the target may, while it holds a lease.
	OwnerTarget
	// OwnerEnded: no cell may any more, the job is in a terminal state.
	OwnerEnded
	ownerCount
)

var ownerNames = [ownerCount]string{
	OwnerNone:   "none",
	OwnerOrigin: "origin",
	OwnerTarget: "target",
	OwnerEnded:  "ended",
}

func (o Owner) String() string { return enumName(ownerNames[:], "owner", uint8(o)) }

// Owner returns which cell may start tasks of the job.
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
		return OwnerOrigin // whose own record of the job says that it has ended
	}
	return OwnerNone
}

// unbounded reports whether the run that was granted last is the last that the class
// allows. Its lease never expires: a job that may not be restarted must not be stopped by
// a partition.
func (r OriginRecord) unbounded() bool { return r.Run > 0 && r.Restarts+r.Run-1 >= r.MaxRestarts }

// canReclaim reports whether the class allows the origin to restart the job.
func (r OriginRecord) canReclaim() bool {
	return r.Phase == OriginCommitted && (r.Run == 0 || r.Restarts+r.Run <= r.MaxRestarts)
}

// NextRestarts returns how often the job has been restarted once the origin starts it
// again, which is what its next transfer begins with.
func (r OriginRecord) NextRestarts() int { return r.Restarts + r.Run }

// Removable reports whether the record may be deleted, once the job's own record says what
// became of it: the target has confirmed that it runs nothing.
func (r OriginRecord) Removable() bool {
	return r.Confirmed && (r.Phase == OriginReturned || r.Phase == OriginFinished || r.Phase == OriginWithdrawn)
}
