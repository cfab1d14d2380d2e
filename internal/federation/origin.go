package federation

import "dunestand/internal/units"

// BeginTransfer begins the transfer of a job. maxRestarts is the restart limit of its class.
func BeginTransfer(id TransferID, request TransferRequest, maxRestarts int) Decision[OriginRecord] {
	r := OriginRecord{
		Transfer:    id,
		Target:      request.Target,
		Phase:       OriginIntended,
		MaxRestarts: maxRestarts,
		Restarts:    request.Restarts,
		Job:         request.Description,
		Work:        request.Work,
	}
	return changed(r, MessageReserve)
}

// Resend resends the message that the target has not answered yet, if any.
func (r OriginRecord) Resend() Decision[OriginRecord] {
	switch {
	case r.Phase == OriginIntended:
		return unchanged(r, MessageReserve)
	case r.Phase == OriginCommitted && r.Run == 0:
		return unchanged(r, MessageCommit)
	case r.Phase == OriginRevoking, r.Phase == OriginReturned && !r.Confirmed, r.Phase == OriginWithdrawn && !r.Confirmed:
		return unchanged(r, MessageRevoke)
	case r.Phase == OriginFinished, r.Confirmed:
		return unchanged(r, MessageSettle)
	}
	return unchanged(r)
}

// Receive processes a message from the target. A message about another incarnation is answered
// as if there were no record.
func (r OriginRecord) Receive(message *Message, grantor *LeaseGrantor, now units.Micros) Decision[OriginRecord] {
	if message.Transfer != r.Transfer {
		return Decision[OriginRecord]{Record: r, Send: ReplyToUnknown(message)}
	}
	switch message.Kind {
	case MessageReserved:
		return r.onReserved()
	case MessageNoCapacity:
		if r.Phase == OriginIntended {
			return r.detach(OriginReturned, true)
		}
	case MessageAccepted:
		if r.Phase != OriginCommitted {
			return r.Resend()
		}
	case MessageRenew:
		return r.onRenew(message, grantor, now)
	case MessageRefused:
		return r.onRefused(message)
	case MessageResult:
		return r.onResult(message)
	}
	return unchanged(r)
}

// onReserved commits the job. If the transfer has left OriginIntended, it resends the message
// of the current phase; if that is MessageRevoke, the target releases the reservation.
func (r OriginRecord) onReserved() Decision[OriginRecord] {
	if r.Phase != OriginIntended {
		return r.Resend()
	}
	r.Phase = OriginCommitted
	return changed(r, MessageCommit)
}

// onRenew grants a lease on a run of the job. The run number is stored before the grant is sent,
// so that no run begins uncounted.
func (r OriginRecord) onRenew(renew *Message, grantor *LeaseGrantor, now units.Micros) Decision[OriginRecord] {
	if r.Phase != OriginCommitted {
		return r.Resend()
	}
	if renew.Run < r.Run || renew.Run > r.Run+1 || r.Restarts+renew.Run-1 > max(r.MaxRestarts, r.Restarts) {
		return unchanged(r) // outdated request, or restart limit reached
	}
	write := renew.Run > r.Run
	r.Run = renew.Run
	if !r.Done.ContainsAll(renew.Done) {
		r.Done, write = r.Done.Union(renew.Done), true
	}
	grant := r.message(MessageGrant)
	grant.Renewal = renew.Renewal
	grant.Run = renew.Run
	grant.Unbounded = r.unbounded()
	grantor.recordGrant(now)
	return Decision[OriginRecord]{Record: r, Write: write, Send: []Message{grant}}
}

// onRefused records that the target has permanently refused the transfer.
func (r OriginRecord) onRefused(refused *Message) Decision[OriginRecord] {
	r.Done = r.Done.Union(refused.Done)
	r.Run = min(r.Run, refused.Run) // a run that was granted but never began does not count
	switch r.Phase {
	case OriginIntended, OriginCommitted:
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

// onResult finishes the job, even if the origin has reclaimed it meanwhile, unless the user has
// already been given a final answer.
func (r OriginRecord) onResult(result *Message) Decision[OriginRecord] {
	switch r.Phase {
	case OriginFinished:
		return unchanged(r, MessageSettle)
	case OriginWithdrawn:
		if r.Confirmed {
			return unchanged(r, MessageSettle)
		}
		r.Confirmed = true // the user was already notified that the job was cancelled or has ended at its origin
		return changed(r, MessageSettle)
	}
	r.Phase, r.Confirmed = OriginFinished, true
	r.Done = r.Done.Union(result.Done)
	return changed(r, MessageSettle)
}

// finishRevocation ends a revocation once no task of the job can run at the target. confirmed
// is whether the target has confirmed that.
func (r OriginRecord) finishRevocation(confirmed bool) Decision[OriginRecord] {
	if r.Cause == CauseCancelled {
		return r.detach(OriginWithdrawn, confirmed)
	}
	return r.detach(OriginReturned, confirmed)
}

// detach enters a phase in which no task of the job can run at the target. Unless the target
// has confirmed that, MessageRevoke is sent until it does.
func (r OriginRecord) detach(phase OriginPhase, confirmed bool) Decision[OriginRecord] {
	r.Phase, r.Confirmed = phase, confirmed
	if confirmed {
		return changed(r, MessageSettle)
	}
	return changed(r, MessageRevoke)
}

// Cancel begins the cancellation of the job. The cancellation may be reported to the user once
// the phase is OriginWithdrawn, or once it is OriginReturned and the origin has cancelled the
// job itself.
func (r OriginRecord) Cancel() Decision[OriginRecord] {
	switch r.Phase {
	case OriginIntended:
		return r.detach(OriginReturned, false)
	case OriginCommitted:
		if r.Run == 0 {
			return r.detach(OriginReturned, false) // no lease was granted, so no task has started
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

// EndJob records that a returned job is about to reach a terminal state at its origin. The record
// must be written before the terminal state or in the same transaction; otherwise a late
// result from the target could change the final answer given to the user.
func (r OriginRecord) EndJob() Decision[OriginRecord] {
	if r.Phase != OriginReturned {
		return unchanged(r)
	}
	r.Phase = OriginWithdrawn
	return changed(r)
}

// Reclaim begins to return the job to the origin because the target has sent no renewal request
// for too long. It has no effect if the class allows no further restart.
func (r OriginRecord) Reclaim() Decision[OriginRecord] {
	switch {
	case r.Phase == OriginIntended:
		return r.detach(OriginReturned, false)
	case !r.canReclaim():
		return unchanged(r)
	case r.Run == 0:
		return r.detach(OriginReturned, false)
	}
	r.Phase, r.Cause = OriginRevoking, CauseTargetSilent
	return changed(r, MessageRevoke)
}

// Tick ends a revocation without a refusal by the target once the lease and the grace period
// have expired.
func (r OriginRecord) Tick(grantor *LeaseGrantor, now units.Micros, timing Timing) Decision[OriginRecord] {
	if r.Phase == OriginRevoking && !r.unbounded() && grantor.Expired(now, timing) {
		return r.finishRevocation(false)
	}
	return unchanged(r)
}

// ReplyToUnknown returns the answer to a message about a transfer without a record at the
// origin. Such a transfer has ended, since the origin deletes a record only after its end.
func ReplyToUnknown(message *Message) []Message {
	kind := MessageRevoke
	if message.Kind == MessageResult || message.Kind == MessageRefused {
		kind = MessageSettle
	}
	return []Message{{Kind: kind, Transfer: message.Transfer}}
}

// message implements transferRecord.
func (r OriginRecord) message(kind MessageKind) Message {
	message := Message{Kind: kind, Transfer: r.Transfer}
	switch kind {
	case MessageReserve:
		message.Work = r.Work
	case MessageCommit:
		message.Job, message.Work = r.Job, r.Work
	}
	return message
}
