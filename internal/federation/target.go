package federation

import "dunestand/internal/units"

// TargetPhase is the state of a transfer at its target.
type TargetPhase uint8

// The phases at the target. docs/federation.md has the table of all transitions.
const (
	// TargetReserved means that capacity is reserved for the job until the reservation
	// expires.
	TargetReserved TargetPhase = iota + 1
	// TargetAccepted means that the target runs the job while it holds a lease.
	TargetAccepted
	// TargetFinished means that all tasks are done. The result is resent until the origin
	// answers with MessageSettle.
	TargetFinished
	// TargetRefused means that no task of the job runs at the target and that the target will
	// never accept the transfer.
	TargetRefused
	targetPhaseCount
)

var targetPhaseNames = [targetPhaseCount]string{
	TargetReserved: "reserved",
	TargetAccepted: "accepted",
	TargetFinished: "finished",
	TargetRefused:  "refused",
}

// String returns the name of the phase, as used in logs and in docs/federation.md.
func (p TargetPhase) String() string { return enumName(targetPhaseNames[:], "phase", uint8(p)) }

// TargetRecord is the record of a transfer stored at the target, and the state machine of the
// target. Each event is a method that returns a Decision and does not modify the receiver.
type TargetRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Phase    TargetPhase `cbor:"phase"`
	// Run is the number of the last run that began at the target, 0 if none did.
	Run int `cbor:"run"`
	// Unbounded is set if the lease on Run never expires.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Stopping is set once the transfer is revoked, while the tasks are being stopped.
	Stopping bool `cbor:"stopping,omitempty"`
	// Job is the job description as submitted by the user. Work is the capacity that the job
	// needs.
	Job  []byte  `cbor:"job,omitempty"`
	Work Work    `cbor:"work,omitempty"`
	Done TaskSet `cbor:"done,omitempty"` // tasks completed by the target
}

// MayRun reports whether the target may start tasks of the job and continue running them.
func (r TargetRecord) MayRun(holder *LeaseHolder, now units.Micros) bool {
	return r.Phase == TargetAccepted && r.Run > 0 && !r.Stopping && (r.Unbounded || holder.Valid(now, r.Run))
}

// ReceiveNew processes a message about a transfer without a record at the target. hasCapacity
// is whether capacity for the transfer was reserved. MessageCommit and MessageRevoke are
// refused durably, since either may be a late duplicate from a transfer that was already
// refused or settled.
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
	return unchanged(r) // late MessageGrant, or repeated MessageSettle
}

// Receive processes a message from the origin. lease is the duration of a granted lease.
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

// Resend resends the message that the origin has not answered yet, if any.
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

// onGrant extends the lease. The start of a run and an unbounded grant are stored before any
// task is started under them, so that the next leader knows of both.
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

// onRevoke refuses the transfer, at once if no run has begun, otherwise after the tasks have
// been stopped.
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

// refuse permanently refuses the transfer.
func (r TargetRecord) refuse() Decision[TargetRecord] {
	r.Phase = TargetRefused
	return changed(r, MessageRefused)
}

// ExpireReservation refuses the transfer if it is still in phase TargetReserved.
func (r TargetRecord) ExpireReservation() Decision[TargetRecord] {
	if r.Phase != TargetReserved {
		return unchanged(r)
	}
	return r.refuse()
}

// RequestRenewal requests the next grant. If this leader holds no valid lease on the current
// run, it requests a new run, since the tasks may have been stopped after lease expiry or
// under the previous leader.
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

// TasksCompleted records tasks whose completion at the target is stored durably. all is
// whether all tasks of the job are done.
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

// TasksStopped refuses a revoked transfer once no task of the job runs on any machine of the
// target.
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
