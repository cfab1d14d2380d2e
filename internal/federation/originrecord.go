package federation

// OriginPhase is how far a transfer is, as the origin's record tells.
type OriginPhase uint8

// The phases at the origin. docs/federation.md has the table of all steps.
const (
	// Intended: the job is held back here, and the target is asked for room.
	Intended OriginPhase = iota + 1
	// Committed: the target may accept the job; nothing of it is started here.
	Committed
	// OriginRevoking: nothing is granted any more; the job waits for the target's refusal, or
	// for the time after which nothing of it runs there.
	OriginRevoking
	// OriginReturned: the job is its origin's again. The record stays until the target has
	// refused the transfer.
	OriginReturned
	// OriginFinished: all tasks are done.
	OriginFinished
	// OriginWithdrawn: the job was cancelled, or ended at its origin after it had returned, and
	// nothing of it runs at the target.
	OriginWithdrawn
	originPhaseCount
)

// RevokeCause is why a transfer is revoked.
type RevokeCause uint8

// The causes.
const (
	CauseNone RevokeCause = iota
	// CauseTargetSilent: the target was not heard for too long.
	CauseTargetSilent
	// CauseCancelled: the job's user cancelled it.
	CauseCancelled
)

// OriginRecord is what the origin stores of a transfer.
type OriginRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Target   string      `cbor:"to"`
	Phase    OriginPhase `cbor:"phase"`
	Cause    RevokeCause `cbor:"cause,omitempty"`
	// MaxRestarts is how often the job's class lets it be begun anew; Reruns is how often
	// that was in earlier transfers.
	MaxRestarts int `cbor:"allowed"`
	Restarts    int `cbor:"reruns"`
	// Run is the last run that was granted to the target, 0: none.
	Run int `cbor:"run"`
	// Confirmed: the target has answered for good, and keeps no task.
	Confirmed bool `cbor:"heard,omitempty"`
	// Job is the job's description, Work what it takes.
	Job  []byte  `cbor:"job"`
	Work Work    `cbor:"work"`
	Done TaskSet `cbor:"done,omitempty"`
}

// Owner tells who may start tasks of the job.
type Owner uint8

// The owners.
const (
	// OwnerNone may start tasks now.
	OwnerNone Owner = iota
	// OwnerOrigin: the origin may.
	OwnerOrigin
	// OwnerTarget: the target may, under a grant.
	OwnerTarget
	// OwnerEnded: the job is over.
	OwnerEnded
)

// Owner tells who may start tasks of the job.
func (r OriginRecord) Owner() Owner {
	switch r.Phase {
	case Committed:
		return OwnerTarget
	case OriginReturned:
		return OwnerOrigin
	case OriginFinished:
		return OwnerEnded
	case OriginWithdrawn:
		if r.Cause == CauseCancelled {
			return OwnerEnded
		}
		return OwnerOrigin // its own record tells that it is over
	}
	return OwnerNone
}

// unbounded tells whether the run that was granted last is the last that the class allows:
// the target then goes on without renewals.
func (r OriginRecord) unbounded() bool { return r.Run > 0 && r.Restarts+r.Run-1 >= r.MaxRestarts }

// canReclaim tells whether the class allows to begin the job here once more.
func (r OriginRecord) canReclaim() bool {
	return r.Phase == Committed && (r.Run == 0 || r.Restarts+r.Run <= r.MaxRestarts)
}

// NextRestarts is how often the job has been begun anew once it is begun here, for its next
// transfer.
func (r OriginRecord) NextRestarts() int { return r.Restarts + r.Run }

// Removable tells whether the record can be removed: the job needs it no more, and the target
// has been heard.
func (r OriginRecord) Removable() bool {
	return r.Confirmed && (r.Phase == OriginReturned || r.Phase == OriginFinished || r.Phase == OriginWithdrawn)
}
