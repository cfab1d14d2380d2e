package federation

import "dunestand/internal/units"

// TargetPhase is the state of a transfer at its target.
type TargetPhase uint8

// The phases at the target. docs/federation.md has the table of all steps.
const (
	// TargetReserved: capacity is reserved for the job, for a while.
	TargetReserved TargetPhase = iota + 1
	// TargetAccepted: the target runs the job, while it holds a lease.
	TargetAccepted
	// TargetFinished: all tasks are done; the result is sent until the origin settles.
	TargetFinished
	// TargetRefused: nothing of the job is here, and the transfer will never be accepted.
	TargetRefused
	targetPhaseCount
)

var targetPhaseNames = [targetPhaseCount]string{
	TargetReserved: "reserved",
	TargetAccepted: "accepted",
	TargetFinished: "finished",
	TargetRefused:  "refused",
}

// String returns the name of the phase, as docs/federation.md has it.
func (p TargetPhase) String() string { return enumName(targetPhaseNames[:], "phase", uint8(p)) }

// TargetRecord is what the target stores of a transfer, and its state machine: each event
// is a method that returns a Decision and leaves the record as it is.
type TargetRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Phase    TargetPhase `cbor:"phase"`
	// Run is the last run that began here, 0: none.
	Run int `cbor:"run"`
	// Unbounded is set if the lease on the run never expires.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Stopping is set once the transfer is revoked, while the tasks are being stopped.
	Stopping bool `cbor:"stopping,omitempty"`
	// Job is the job's description as its user sent it, Work the capacity it takes.
	Job  []byte  `cbor:"job,omitempty"`
	Work Work    `cbor:"work,omitempty"`
	Done TaskSet `cbor:"done,omitempty"` // tasks that were completed here
}

// MayRun reports whether tasks of the job may be started, and may go on, at the target.
func (r TargetRecord) MayRun(holder *LeaseHolder, now units.Micros) bool {
	return r.Phase == TargetAccepted && r.Run > 0 && !r.Stopping && (r.Unbounded || holder.Valid(now, r.Run))
}

// ReceiveNew decides on a message about a transfer that the target has no record of.
// hasCapacity is whether capacity for it was reserved. A commitment or a revocation is
// refused durably: either may be a late copy, of a transfer that was refused or settled.
func ReceiveNew(message *Message, hasCapacity bool) Decision[TargetRecord] {
	r := TargetRecord{Transfer: message.Transfer}
	switch message.Kind {
	case MessageReserve:
		if !hasCapacity {
			return unchanged(r, MessageNoCapacity)
		}
		r.Phase, r.Work = TargetReserved, message.Work
		return changed(r, MessageReserved)
	case MessageCommit, MessageRevoke:
		return r.refuse()
	}
	return unchanged(r) // a late grant, or a repeated settlement
}

// Receive decides on a message of the origin. lease is the length of the lease that a grant
// is for.
func (r TargetRecord) Receive(message *Message, holder *LeaseHolder, lease, now units.Micros) Decision[TargetRecord] {
	switch message.Kind {
	case MessageReserve:
		return r.Resend()
	case MessageCommit:
		if r.Phase != TargetReserved {
			return r.Resend()
		}
		r.Phase, r.Job = TargetAccepted, message.Job
		return changed(r, MessageAccepted)
	case MessageGrant:
		return r.onGrant(message, holder, lease, now)
	case MessageRevoke:
		return r.onRevoke()
	case MessageSettle:
		if r.Phase == TargetFinished || r.Phase == TargetRefused {
			return Decision[TargetRecord]{Record: r, Remove: true}
		}
	}
	return unchanged(r)
}

// Resend decides to send again what the origin has not answered yet.
func (r TargetRecord) Resend() Decision[TargetRecord] {
	switch r.Phase {
	case TargetReserved:
		return unchanged(r, MessageReserved)
	case TargetAccepted:
		return unchanged(r, MessageAccepted)
	case TargetFinished:
		return unchanged(r, MessageResult)
	case TargetRefused:
		return unchanged(r, MessageRefused)
	}
	return unchanged(r)
}

// onGrant extends the lease. That a run begins, and that its lease never expires, is stored
// before any task is started on account of it.
func (r TargetRecord) onGrant(grant *Message, holder *LeaseHolder, lease, now units.Micros) Decision[TargetRecord] {
	if r.Phase != TargetAccepted || r.Stopping || grant.Run < r.Run || !holder.acceptGrant(grant, lease, now) {
		return unchanged(r)
	}
	if grant.Run == r.Run && grant.Unbounded == r.Unbounded {
		return unchanged(r)
	}
	r.Run, r.Unbounded = grant.Run, grant.Unbounded
	return changed(r)
}

// onRevoke refuses the transfer, once what runs has been stopped.
func (r TargetRecord) onRevoke() Decision[TargetRecord] {
	switch {
	case r.Phase == TargetReserved, r.Phase == TargetAccepted && r.Run == 0:
		return r.refuse()
	case r.Phase != TargetAccepted:
		return r.Resend()
	case r.Stopping:
		return unchanged(r)
	}
	r.Stopping = true
	return changed(r)
}

// refuse ends the transfer for good.
func (r TargetRecord) refuse() Decision[TargetRecord] {
	r.Phase = TargetRefused
	return changed(r, MessageRefused)
}

// ExpireReservation ends a reservation that no commitment has followed in time.
func (r TargetRecord) ExpireReservation() Decision[TargetRecord] {
	if r.Phase != TargetReserved {
		return unchanged(r)
	}
	return r.refuse()
}

// RequestRenewal asks for the next grant. Where this leader holds no lease on the run, it
// asks for a new run: its predecessor may have stopped the tasks.
func (r TargetRecord) RequestRenewal(holder *LeaseHolder, now units.Micros) Decision[TargetRecord] {
	if r.Phase != TargetAccepted || r.Stopping || r.Unbounded {
		return unchanged(r)
	}
	run := r.Run
	if run == 0 || !holder.Valid(now, run) {
		run++
	}
	renew := r.message(MessageRenew)
	renew.Run, renew.Done = run, r.Done
	renew.Renewal = holder.newRenewal(now, run)
	return Decision[TargetRecord]{Record: r, Send: []Message{renew}}
}

// TasksCompleted records tasks that were completed here, durably; all is whether no task of
// the job is left to be done.
func (r TargetRecord) TasksCompleted(done TaskSet, all bool) Decision[TargetRecord] {
	if r.Phase != TargetAccepted {
		return unchanged(r)
	}
	r.Done = r.Done.Union(done)
	if !all {
		return changed(r)
	}
	r.Phase = TargetFinished
	return changed(r, MessageResult)
}

// TasksStopped records that, after a revocation, no task of the job is on any machine.
func (r TargetRecord) TasksStopped() Decision[TargetRecord] {
	if r.Phase != TargetAccepted || !r.Stopping {
		return unchanged(r)
	}
	return r.refuse()
}

// message implements transferRecord.
func (r TargetRecord) message(kind MessageKind) Message {
	message := Message{Kind: kind, Transfer: r.Transfer}
	if kind == MessageRefused || kind == MessageResult {
		message.Done, message.Run = r.Done, r.Run
	}
	return message
}
