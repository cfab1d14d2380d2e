package federation

import "dunestand/internal/units"

func (r OriginRecord) message(kind MessageKind) Message {
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
func BeginTransfer(id TransferID, target string, job []byte, work Work, allowance, reruns int) Decision[OriginRecord] {
	r := OriginRecord{
		Transfer:    id,
		Target:      target,
		Phase:       Intended,
		MaxRestarts: allowance,
		Restarts:    reruns,
		Job:         job,
		Work:        work,
	}
	return changed(r, MessageReserve)
}

// Resend gives what is sent again while no answer comes.
func (r OriginRecord) Resend() Decision[OriginRecord] {
	switch {
	case r.Phase == Intended:
		return unchanged(r, MessageReserve)
	case r.Phase == Committed && r.Run == 0:
		return unchanged(r, MessageCommit)
	case r.Phase == OriginRevoking, r.Phase == OriginReturned && !r.Confirmed, r.Phase == OriginWithdrawn && !r.Confirmed:
		return unchanged(r, MessageRevoke)
	case r.Phase == OriginFinished, r.Confirmed:
		return unchanged(r, MessageSettle)
	}
	return unchanged(r)
}

// Receive decides on a message of the target. One of another incarnation is answered as
// if there were no record.
func (r OriginRecord) Receive(m *Message, grantor *LeaseGrantor, now units.Micros) Decision[OriginRecord] {
	if m.Transfer != r.Transfer {
		return Decision[OriginRecord]{Record: r, Send: ReplyToUnknown(m)}
	}
	switch m.Kind {
	case MessageReserved:
		return r.onReserved()
	case MessageNoCapacity:
		if r.Phase == Intended {
			return r.detach(OriginReturned, true)
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
	return unchanged(r)
}

// onReserved: the target has room. An answer to a transfer that was given up frees it.
func (r OriginRecord) onReserved() Decision[OriginRecord] {
	if r.Phase != Intended {
		return r.Resend()
	}
	r.Phase = Committed
	return changed(r, MessageCommit)
}

// onRenew grants a run of the job. What lets the target begin a run is stored before.
func (r OriginRecord) onRenew(m *Message, grantor *LeaseGrantor, now units.Micros) Decision[OriginRecord] {
	if r.Phase != Committed {
		return r.Resend()
	}
	if m.Run < r.Run || m.Run > r.Run+1 || r.Restarts+m.Run-1 > max(r.MaxRestarts, r.Restarts) {
		return unchanged(r) // late, or no run that the class allows
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
	return Decision[OriginRecord]{Record: r, Write: save, Send: []Message{grant}}
}

// onRefused: nothing of the job is at the target, for good.
func (r OriginRecord) onRefused(m *Message) Decision[OriginRecord] {
	r.Done = r.Done.Union(m.Done)
	r.Run = min(r.Run, m.Run) // runs that were granted and never begun are none
	switch r.Phase {
	case Intended, Committed:
		return r.detach(OriginReturned, true)
	case OriginRevoking:
		return r.finishRevocation(true)
	}
	if r.Confirmed {
		return unchanged(r, MessageSettle)
	}
	r.Confirmed = true
	return changed(r, MessageSettle)
}

// onResult: all tasks are done. It holds even for a job that was taken back meanwhile.
func (r OriginRecord) onResult(m *Message) Decision[OriginRecord] {
	switch r.Phase {
	case OriginFinished:
		return unchanged(r, MessageSettle)
	case OriginWithdrawn:
		if r.Confirmed {
			return unchanged(r, MessageSettle)
		}
		r.Confirmed = true // its user was told that it is cancelled
		return changed(r, MessageSettle)
	}
	r.Phase, r.Confirmed = OriginFinished, true
	r.Done = r.Done.Union(m.Done)
	return changed(r, MessageSettle)
}

// finishRevocation ends a revocation: nothing of the job runs at the target.
func (r OriginRecord) finishRevocation(confirmed bool) Decision[OriginRecord] {
	if r.Cause == CauseCancelled {
		return r.detach(OriginWithdrawn, confirmed)
	}
	return r.detach(OriginReturned, confirmed)
}

// detach enters a phase in which nothing of the job runs at the target or can start there.
// Unless the target has confirmed that, it is asked until it does.
func (r OriginRecord) detach(phase OriginPhase, confirmed bool) Decision[OriginRecord] {
	r.Phase, r.Confirmed = phase, confirmed
	if confirmed {
		return changed(r, MessageSettle)
	}
	return changed(r, MessageRevoke)
}

// Cancel is called when the job's user cancels it. The user may be told so once the job
// is Withdrawn, or Returned and cancelled here.
func (r OriginRecord) Cancel() Decision[OriginRecord] {
	switch r.Phase {
	case Intended:
		return r.detach(OriginReturned, false)
	case Committed:
		if r.Run == 0 {
			return r.detach(OriginReturned, false) // nothing was ever granted
		}
		r.Phase, r.Cause = OriginRevoking, CauseCancelled
		return changed(r, MessageRevoke)
	case OriginRevoking:
		if r.Cause != CauseCancelled {
			r.Cause = CauseCancelled
			return changed(r, MessageRevoke)
		}
	}
	return unchanged(r)
}

// JobEnded is called when a job that had returned is done or cancelled at its origin. The
// record is stored before the job's end, or with it: a result that comes late from the
// target must not change what the user was told.
func (r OriginRecord) JobEnded() Decision[OriginRecord] {
	if r.Phase != OriginReturned {
		return unchanged(r)
	}
	r.Phase = OriginWithdrawn
	return changed(r)
}

// Reclaim begins to take a job back whose target was not heard for too long.
func (r OriginRecord) Reclaim() Decision[OriginRecord] {
	switch {
	case r.Phase == Intended:
		return r.detach(OriginReturned, false)
	case !r.canReclaim():
		return unchanged(r)
	case r.Run == 0:
		return r.detach(OriginReturned, false)
	}
	r.Phase, r.Cause = OriginRevoking, CauseTargetSilent
	return changed(r, MessageRevoke)
}

// Tick ends a revocation by time, once nothing of the job can run at the target.
func (r OriginRecord) Tick(grantor *LeaseGrantor, now units.Micros, terms Timing) Decision[OriginRecord] {
	if r.Phase == OriginRevoking && !r.unbounded() && grantor.Expired(now, terms) {
		return r.finishRevocation(false)
	}
	return unchanged(r)
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
