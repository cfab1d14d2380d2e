package federation

import "dunestand/internal/units"

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

// ReplyToUnknown answers a message about a transfer that the origin has no record of: it
// is over.
func ReplyToUnknown(m *Message) []Message {
	kind := MessageRevoke
	if m.Kind == MessageResult || m.Kind == MessageRefused {
		kind = MessageSettle
	}
	return []Message{{Kind: kind, Transfer: m.Transfer}}
}
