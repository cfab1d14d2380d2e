package federation

import "dunestand/internal/units"

// TargetPhase is how far a transfer is, as the target's record tells.
type TargetPhase uint8

// The phases at the target.
const (
	// TargetReserved: room is kept for the job, for a while.
	TargetReserved TargetPhase = iota + 1
	// TargetAccepted: the job is the target's to run, under grants.
	TargetAccepted
	// TargetFinished: all tasks are done; the origin is told until it settles.
	TargetFinished
	// TargetRefused: nothing of the job is here, and the transfer is never taken.
	TargetRefused
	targetPhaseCount
)

// TargetRecord is what the target stores of a transfer.
type TargetRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Phase    TargetPhase `cbor:"phase"`
	// Run is the last run that was begun here, 0: none.
	Run int `cbor:"run"`
	// Unbounded: the run goes on without renewals.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Stopping: the transfer is revoked; the tasks are being stopped.
	Stopping bool    `cbor:"stopping,omitempty"`
	Job      []byte  `cbor:"job,omitempty"`
	Work     Work    `cbor:"work,omitempty"`
	Done     TaskSet `cbor:"done,omitempty"`
}

// MayRun tells whether tasks of the job may be started, and may go on, at the target.
func (r TargetRecord) MayRun(holder *LeaseHolder, now units.Micros) bool {
	return r.Phase == TargetAccepted && r.Run > 0 && !r.Stopping && (r.Unbounded || holder.Valid(now, r.Run))
}

func (r TargetRecord) message(kind MessageKind) Message {
	m := Message{Kind: kind, Transfer: r.Transfer}
	if kind == MessageRefused || kind == MessageResult {
		m.Done, m.Run = r.Done, r.Run
	}
	return m
}

// ReceiveNew decides on a message about a transfer that the target has no record of.
// hasRoom tells whether there is room for a reservation. Whatever is not a reservation is
// refused for good: what was refused or settled before may be met by late copies.
func ReceiveNew(m *Message, hasRoom bool) Decision[TargetRecord] {
	r := TargetRecord{Transfer: m.Transfer}
	switch m.Kind {
	case MessageReserve:
		if !hasRoom {
			return unchanged(r, MessageNoCapacity)
		}
		r.Phase, r.Work = TargetReserved, m.Work
		return changed(r, MessageReserved)
	case MessageCommit, MessageRevoke:
		r.Phase = TargetRefused
		return changed(r, MessageRefused)
	}
	return unchanged(r) // a late grant, or a repeated settlement
}

// Receive decides on a message of the origin. lease is the length of a grant.
func (r TargetRecord) Receive(m *Message, holder *LeaseHolder, lease, now units.Micros) Decision[TargetRecord] {
	switch m.Kind {
	case MessageReserve:
		return r.Resend()
	case MessageCommit:
		if r.Phase != TargetReserved {
			return r.Resend()
		}
		r.Phase, r.Job = TargetAccepted, m.Job
		return changed(r, MessageAccepted)
	case MessageGrant:
		return r.onGrant(m, holder, lease, now)
	case MessageRevoke:
		return r.onRevoke()
	case MessageSettle:
		if r.Phase == TargetFinished || r.Phase == TargetRefused {
			return Decision[TargetRecord]{Record: r, Remove: true}
		}
	}
	return unchanged(r)
}

// Resend gives what is sent again while no answer comes.
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

// onGrant lets the job run. That a run begins, and that it needs no renewals, is stored
// before any task is started by it.
func (r TargetRecord) onGrant(m *Message, holder *LeaseHolder, lease, now units.Micros) Decision[TargetRecord] {
	if r.Phase != TargetAccepted || r.Stopping || m.Run < r.Run || !holder.acceptGrant(m, lease, now) {
		return unchanged(r)
	}
	if m.Run == r.Run && m.Unbounded == r.Unbounded {
		return unchanged(r)
	}
	r.Run, r.Unbounded = m.Run, m.Unbounded
	return changed(r)
}

// onRevoke ends the transfer, once what runs is stopped.
func (r TargetRecord) onRevoke() Decision[TargetRecord] {
	switch r.Phase {
	case TargetReserved:
		r.Phase = TargetRefused
		return changed(r, MessageRefused)
	case TargetAccepted:
		if r.Run == 0 {
			r.Phase = TargetRefused
			return changed(r, MessageRefused)
		}
		if !r.Stopping {
			r.Stopping = true
			return changed(r)
		}
		return unchanged(r)
	}
	return r.Resend()
}

// ExpireReservation ends a reservation that was not used.
func (r TargetRecord) ExpireReservation() Decision[TargetRecord] {
	if r.Phase != TargetReserved {
		return unchanged(r)
	}
	r.Phase = TargetRefused
	return changed(r, MessageRefused)
}

// RequestRenewal asks for the next grant. Where this leader holds no lease on the run, what runs
// next is a new one: its predecessor may have stopped the tasks.
func (r TargetRecord) RequestRenewal(holder *LeaseHolder, now units.Micros) Decision[TargetRecord] {
	if r.Phase != TargetAccepted || r.Stopping || r.Unbounded {
		return unchanged(r)
	}
	run := r.Run
	if run == 0 || !holder.Valid(now, run) {
		run++
	}
	m := r.message(MessageRenew)
	m.Run, m.Done = run, r.Done
	m.Renewal = holder.newRenewal(now, run)
	return Decision[TargetRecord]{Record: r, Send: []Message{m}}
}

// TasksCompleted is called when tasks are done here, durably. all tells that none is left.
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

// TasksStopped is called when nothing of a job whose transfer is revoked is left on any machine.
func (r TargetRecord) TasksStopped() Decision[TargetRecord] {
	if r.Phase != TargetAccepted || !r.Stopping {
		return unchanged(r)
	}
	r.Phase = TargetRefused
	return changed(r, MessageRefused)
}
