package federation

import "dunestand/internal/units"

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
func (r *OriginRecord) Owner() Owner {
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
func (r *OriginRecord) unbounded() bool { return r.Run > 0 && r.Restarts+r.Run-1 >= r.MaxRestarts }

// canReclaim tells whether the class allows to begin the job here once more.
func (r *OriginRecord) canReclaim() bool {
	return r.Phase == Committed && (r.Run == 0 || r.Restarts+r.Run <= r.MaxRestarts)
}

// NextRestarts is how often the job has been begun anew once it is begun here, for its next
// transfer.
func (r *OriginRecord) NextRestarts() int { return r.Restarts + r.Run }

// OriginDecision is what follows at the origin. Where Save is set, the record is stored
// first.
type OriginDecision struct {
	Record OriginRecord
	Write  bool
	Send   []Message
}

func (r OriginRecord) keep(send ...MessageKind) OriginDecision {
	d := OriginDecision{Record: r}
	for _, kind := range send {
		d.Send = append(d.Send, r.message(kind))
	}
	return d
}

func (r OriginRecord) write(send ...MessageKind) OriginDecision {
	d := r.keep(send...)
	d.Write = true
	return d
}

func (r *OriginRecord) message(kind MessageKind) Message {
	m := Message{Kind: kind, Transfer: r.Transfer}
	switch kind {
	case MessageReserve:
		m.Work = r.Work
	case MessageCommit:
		m.Job, m.Work = r.Job, r.Work
	}
	return m
}

// BeginTransfer makes the record of a transfer that is to be stored first of all. reruns is how
// often the job was begun anew before.
func BeginTransfer(id TransferID, target string, job []byte, work Work, allowance, reruns int) OriginDecision {
	r := OriginRecord{
		Transfer:    id,
		Target:      target,
		Phase:       Intended,
		MaxRestarts: allowance,
		Restarts:    reruns,
		Job:         job,
		Work:        work,
	}
	return r.write(MessageReserve)
}

// Resend gives what is sent again while no answer comes.
func (r OriginRecord) Resend() OriginDecision {
	switch {
	case r.Phase == Intended:
		return r.keep(MessageReserve)
	case r.Phase == Committed && r.Run == 0:
		return r.keep(MessageCommit)
	case r.Phase == OriginRevoking, r.Phase == OriginReturned && !r.Confirmed, r.Phase == OriginWithdrawn && !r.Confirmed:
		return r.keep(MessageRevoke)
	case r.Phase == OriginFinished, r.Confirmed:
		return r.keep(MessageSettle)
	}
	return r.keep()
}

// Receive decides on a message of the target. One of another incarnation is answered as
// if there were no record.
func (r OriginRecord) Receive(m *Message, grantor *LeaseGrantor, now units.Micros) OriginDecision {
	if m.Transfer != r.Transfer {
		return OriginDecision{Record: r, Send: ReplyToUnknown(m)}
	}
	switch m.Kind {
	case MessageReserved:
		return r.onReserved()
	case MessageNoCapacity:
		if r.Phase == Intended {
			return r.returnToOrigin(true)
		}
	case MessageAccepted:
		if r.Phase != Committed {
			return r.Resend()
		}
	case MessageRenew:
		return r.onRenew(m, grantor, now)
	case MessageRefused:
		return r.onRefused(m)
	case MessageResult:
		return r.onResult(m)
	}
	return r.keep()
}

// onReserved: the target has room. An answer to a transfer that was given up frees it.
func (r OriginRecord) onReserved() OriginDecision {
	if r.Phase != Intended {
		return r.Resend()
	}
	r.Phase = Committed
	return r.write(MessageCommit)
}

// onRenew grants a run of the job. What lets the target begin a run is stored before.
func (r OriginRecord) onRenew(m *Message, grantor *LeaseGrantor, now units.Micros) OriginDecision {
	if r.Phase != Committed {
		return r.Resend()
	}
	if m.Run < r.Run || m.Run > r.Run+1 || r.Restarts+m.Run-1 > max(r.MaxRestarts, r.Restarts) {
		return r.keep() // late, or no run that the class allows
	}
	save := m.Run > r.Run
	r.Run = m.Run
	if !r.Done.ContainsAll(m.Done) {
		r.Done, save = r.Done.Union(m.Done), true
	}
	grant := r.message(MessageGrant)
	grant.Renewal = m.Renewal
	grant.Run = m.Run
	grant.Unbounded = r.unbounded()
	grantor.recordGrant(now)
	return OriginDecision{Record: r, Write: save, Send: []Message{grant}}
}

// onRefused: nothing of the job is at the target, for good.
func (r OriginRecord) onRefused(m *Message) OriginDecision {
	r.Done = r.Done.Union(m.Done)
	r.Run = min(r.Run, m.Run) // runs that were granted and never begun are none
	switch r.Phase {
	case Intended, Committed:
		return r.returnToOrigin(true)
	case OriginRevoking:
		return r.finishRevocation(true)
	}
	if r.Confirmed {
		return r.keep(MessageSettle)
	}
	r.Confirmed = true
	return r.write(MessageSettle)
}

// onResult: all tasks are done. It holds even for a job that was taken back meanwhile.
func (r OriginRecord) onResult(m *Message) OriginDecision {
	switch r.Phase {
	case OriginFinished:
		return r.keep(MessageSettle)
	case OriginWithdrawn:
		if r.Confirmed {
			return r.keep(MessageSettle)
		}
		r.Confirmed = true // its user was told that it is cancelled
		return r.write(MessageSettle)
	}
	r.Phase, r.Confirmed = OriginFinished, true
	r.Done = r.Done.Union(m.Done)
	return r.write(MessageSettle)
}

// returnToOrigin gives the job back to its origin. Nothing ran at the target that could go on.
func (r OriginRecord) returnToOrigin(heard bool) OriginDecision {
	r.Phase, r.Confirmed = OriginReturned, heard
	if heard {
		return r.write(MessageSettle)
	}
	return r.write(MessageRevoke)
}

// finishRevocation ends a revocation: nothing of the job runs at the target.
func (r OriginRecord) finishRevocation(heard bool) OriginDecision {
	if r.Cause != CauseCancelled {
		return r.returnToOrigin(heard)
	}
	r.Phase, r.Confirmed = OriginWithdrawn, heard
	if heard {
		return r.write(MessageSettle)
	}
	return r.write(MessageRevoke)
}

// Cancel is called when the job's user cancels it. The user may be told so once the job
// is Withdrawn, or Returned and cancelled here.
func (r OriginRecord) Cancel() OriginDecision {
	switch r.Phase {
	case Intended:
		return r.returnToOrigin(false)
	case Committed:
		if r.Run == 0 {
			return r.returnToOrigin(false) // nothing was ever granted
		}
		r.Phase, r.Cause = OriginRevoking, CauseCancelled
		return r.write(MessageRevoke)
	case OriginRevoking:
		if r.Cause != CauseCancelled {
			r.Cause = CauseCancelled
			return r.write(MessageRevoke)
		}
	}
	return r.keep()
}

// JobEnded is called when a job that had returned is done or cancelled at its origin. The
// record is stored before the job's end, or with it: a result that comes late from the
// target must not change what the user was told.
func (r OriginRecord) JobEnded() OriginDecision {
	if r.Phase != OriginReturned {
		return r.keep()
	}
	r.Phase = OriginWithdrawn
	return r.write()
}

// Reclaim begins to take a job back whose target was not heard for too long.
func (r OriginRecord) Reclaim() OriginDecision {
	switch {
	case r.Phase == Intended:
		return r.returnToOrigin(false)
	case !r.canReclaim():
		return r.keep()
	case r.Run == 0:
		return r.returnToOrigin(false)
	}
	r.Phase, r.Cause = OriginRevoking, CauseTargetSilent
	return r.write(MessageRevoke)
}

// Tick ends a revocation by time, once nothing of the job can run at the target.
func (r OriginRecord) Tick(grantor *LeaseGrantor, now units.Micros, terms Timing) OriginDecision {
	if r.Phase == OriginRevoking && !r.unbounded() && grantor.Expired(now, terms) {
		return r.finishRevocation(false)
	}
	return r.keep()
}

// Removable tells whether the record can be removed: the job needs it no more, and the target
// has been heard.
func (r *OriginRecord) Removable() bool {
	return r.Confirmed && (r.Phase == OriginReturned || r.Phase == OriginFinished || r.Phase == OriginWithdrawn)
}

// ReplyToUnknown answers a message about a transfer that the origin has no record of: it
// is over.
func ReplyToUnknown(m *Message) []Message {
	kind := MessageRevoke
	if m.Kind == MessageResult || m.Kind == MessageRefused {
		kind = MessageSettle
	}
	return []Message{{Kind: kind, Transfer: m.Transfer}}
}
