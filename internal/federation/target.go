package federation

import "dunestand/internal/units"

// TargetPhase is how far a transfer is, as the target's record tells.
type TargetPhase uint8

// The phases at the target.
const (
	// ReservedHere: room is kept for the job, for a while.
	ReservedHere TargetPhase = iota + 1
	// AcceptedHere: the job is the target's to run, under grants.
	AcceptedHere
	// FinishedHere: all tasks are done; the origin is told until it settles.
	FinishedHere
	// RefusedHere: nothing of the job is here, and the transfer is never taken.
	RefusedHere
	targetPhases
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
func (r *TargetRecord) MayRun(holder *Holder, now units.Micros) bool {
	return r.Phase == AcceptedHere && r.Run > 0 && !r.Stopping && (r.Unbounded || holder.Valid(now, r.Run))
}

// TargetDecision is what follows at the target. Where Save is set, the record is stored
// first; where Remove is set, it is removed.
type TargetDecision struct {
	Record TargetRecord
	Save   bool
	Remove bool
	Send   []Message
}

func (r TargetRecord) keep(send ...MessageKind) TargetDecision {
	d := TargetDecision{Record: r}
	for _, kind := range send {
		d.Send = append(d.Send, r.message(kind))
	}
	return d
}

func (r TargetRecord) save(send ...MessageKind) TargetDecision {
	d := r.keep(send...)
	d.Save = true
	return d
}

func (r *TargetRecord) message(kind MessageKind) Message {
	m := Message{Kind: kind, Transfer: r.Transfer}
	if kind == Refused || kind == Result {
		m.Done, m.Run = r.Done, r.Run
	}
	return m
}

// ReceiveNew decides on a message about a transfer that the target has no record of.
// hasRoom tells whether there is room for a reservation. Whatever is not a reservation is
// refused for good: what was refused or settled before may be met by late copies.
func ReceiveNew(m *Message, hasRoom bool) TargetDecision {
	r := TargetRecord{Transfer: m.Transfer}
	switch m.Kind {
	case Reserve:
		if !hasRoom {
			return r.keep(NoRoom)
		}
		r.Phase, r.Work = ReservedHere, m.Work
		return r.save(Reserved)
	case Commit, Revoke:
		r.Phase = RefusedHere
		return r.save(Refused)
	}
	return r.keep() // a late grant, or a repeated settlement
}

// Receive decides on a message of the origin. lease is the length of a grant.
func (r TargetRecord) Receive(m *Message, holder *Holder, lease, now units.Micros) TargetDecision {
	switch m.Kind {
	case Reserve:
		return r.Repeat()
	case Commit:
		if r.Phase != ReservedHere {
			return r.Repeat()
		}
		r.Phase, r.Job = AcceptedHere, m.Job
		return r.save(Accepted)
	case Grant:
		return r.grant(m, holder, lease, now)
	case Revoke:
		return r.revoke()
	case Settle:
		if r.Phase == FinishedHere || r.Phase == RefusedHere {
			return TargetDecision{Record: r, Remove: true}
		}
	}
	return r.keep()
}

// Repeat gives what is sent again while no answer comes.
func (r TargetRecord) Repeat() TargetDecision {
	switch r.Phase {
	case ReservedHere:
		return r.keep(Reserved)
	case AcceptedHere:
		return r.keep(Accepted)
	case FinishedHere:
		return r.keep(Result)
	case RefusedHere:
		return r.keep(Refused)
	}
	return r.keep()
}

// grant lets the job run. That a run begins, and that it needs no renewals, is stored
// before any task is started by it.
func (r TargetRecord) grant(m *Message, holder *Holder, lease, now units.Micros) TargetDecision {
	if r.Phase != AcceptedHere || r.Stopping || m.Run < r.Run || !holder.take(m, lease, now) {
		return r.keep()
	}
	if m.Run == r.Run && m.Unbounded == r.Unbounded {
		return r.keep()
	}
	r.Run, r.Unbounded = m.Run, m.Unbounded
	return r.save()
}

// revoke ends the transfer, once what runs is stopped.
func (r TargetRecord) revoke() TargetDecision {
	switch r.Phase {
	case ReservedHere:
		r.Phase = RefusedHere
		return r.save(Refused)
	case AcceptedHere:
		if r.Run == 0 {
			r.Phase = RefusedHere
			return r.save(Refused)
		}
		if !r.Stopping {
			r.Stopping = true
			return r.save()
		}
		return r.keep()
	}
	return r.Repeat()
}

// Expire ends a reservation that was not used.
func (r TargetRecord) Expire() TargetDecision {
	if r.Phase != ReservedHere {
		return r.keep()
	}
	r.Phase = RefusedHere
	return r.save(Refused)
}

// Renew asks for the next grant. Where this leader holds no lease on the run, what runs
// next is a new one: its predecessor may have stopped the tasks.
func (r TargetRecord) Renew(holder *Holder, now units.Micros) TargetDecision {
	if r.Phase != AcceptedHere || r.Stopping || r.Unbounded {
		return r.keep()
	}
	run := r.Run
	if run == 0 || !holder.Valid(now, run) {
		run++
	}
	m := r.message(Renew)
	m.Run, m.Done = run, r.Done
	m.Renewal = holder.ask(now, run)
	return TargetDecision{Record: r, Send: []Message{m}}
}

// Complete is called when tasks are done here, durably. all tells that none is left.
func (r TargetRecord) Complete(done TaskSet, all bool) TargetDecision {
	if r.Phase != AcceptedHere {
		return r.keep()
	}
	r.Done = r.Done.Union(done)
	if !all {
		return r.save()
	}
	r.Phase = FinishedHere
	return r.save(Result)
}

// Stopped is called when nothing of a job whose transfer is revoked is left on any machine.
func (r TargetRecord) Stopped() TargetDecision {
	if r.Phase != AcceptedHere || !r.Stopping {
		return r.keep()
	}
	r.Phase = RefusedHere
	return r.save(Refused)
}
