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
	// Revoking: nothing is granted any more; the job waits for the target's refusal, or
	// for the time after which nothing of it runs there.
	Revoking
	// Returned: the job is its origin's again. The record stays until the target has
	// refused the transfer.
	Returned
	// Finished: all tasks are done.
	Finished
	// Withdrawn: the job was cancelled, or ended at its origin after it had returned, and
	// nothing of it runs at the target.
	Withdrawn
	originPhases
)

// Cause is why a transfer is revoked.
type Cause uint8

// The causes.
const (
	NoCause Cause = iota
	// TakenBack: the target was not heard for too long.
	TakenBack
	// Cancelled: the job's user cancelled it.
	Cancelled
)

// OriginRecord is what the origin stores of a transfer.
type OriginRecord struct {
	Transfer TransferID  `cbor:"transfer"`
	Target   string      `cbor:"to"`
	Phase    OriginPhase `cbor:"phase"`
	Cause    Cause       `cbor:"cause,omitempty"`
	// Allowance is how often the job's class lets it be begun anew; Reruns is how often
	// that was in earlier transfers.
	Allowance int `cbor:"allowed"`
	Reruns    int `cbor:"reruns"`
	// Run is the last run that was granted to the target, 0: none.
	Run int `cbor:"run"`
	// Heard: the target has answered for good, and keeps no task.
	Heard bool `cbor:"heard,omitempty"`
	// Job is the job's description, Work what it takes.
	Job  []byte  `cbor:"job"`
	Work Work    `cbor:"work"`
	Done TaskSet `cbor:"done,omitempty"`
}

// Owner tells who may start tasks of the job.
type Owner uint8

// The owners.
const (
	// Nobody may start tasks now.
	Nobody Owner = iota
	// HereAgain: the origin may.
	HereAgain
	// There: the target may, under a grant.
	There
	// NeverAgain: the job is over.
	NeverAgain
)

// Owner tells who may start tasks of the job.
func (r *OriginRecord) Owner() Owner {
	switch r.Phase {
	case Committed:
		return There
	case Returned:
		return HereAgain
	case Finished:
		return NeverAgain
	case Withdrawn:
		if r.Cause == Cancelled {
			return NeverAgain
		}
		return HereAgain // its own record tells that it is over
	}
	return Nobody
}

// unbounded tells whether the run that was granted last is the last that the class allows:
// the target then goes on without renewals.
func (r *OriginRecord) unbounded() bool { return r.Run > 0 && r.Reruns+r.Run-1 >= r.Allowance }

// CanBeTakenBack tells whether the class allows to begin the job here once more.
func (r *OriginRecord) CanBeTakenBack() bool {
	return r.Phase == Committed && (r.Run == 0 || r.Reruns+r.Run <= r.Allowance)
}

// NextReruns is how often the job has been begun anew once it is begun here, for its next
// transfer.
func (r *OriginRecord) NextReruns() int { return r.Reruns + r.Run }

// OriginDecision is what follows at the origin. Where Save is set, the record is stored
// first.
type OriginDecision struct {
	Record OriginRecord
	Save   bool
	Send   []Message
}

func (r OriginRecord) keep(send ...MessageKind) OriginDecision {
	d := OriginDecision{Record: r}
	for _, kind := range send {
		d.Send = append(d.Send, r.message(kind))
	}
	return d
}

func (r OriginRecord) save(send ...MessageKind) OriginDecision {
	d := r.keep(send...)
	d.Save = true
	return d
}

func (r *OriginRecord) message(kind MessageKind) Message {
	m := Message{Kind: kind, Transfer: r.Transfer}
	switch kind {
	case Reserve:
		m.Work = r.Work
	case Commit:
		m.Job, m.Work = r.Job, r.Work
	}
	return m
}

// Begin makes the record of a transfer that is to be stored first of all. reruns is how
// often the job was begun anew before.
func Begin(id TransferID, target string, job []byte, work Work, allowance, reruns int) OriginDecision {
	r := OriginRecord{
		Transfer:  id,
		Target:    target,
		Phase:     Intended,
		Allowance: allowance,
		Reruns:    reruns,
		Job:       job,
		Work:      work,
	}
	return r.save(Reserve)
}

// Repeat gives what is sent again while no answer comes.
func (r OriginRecord) Repeat() OriginDecision {
	switch {
	case r.Phase == Intended:
		return r.keep(Reserve)
	case r.Phase == Committed && r.Run == 0:
		return r.keep(Commit)
	case r.Phase == Revoking, r.Phase == Returned && !r.Heard, r.Phase == Withdrawn && !r.Heard:
		return r.keep(Revoke)
	case r.Phase == Finished, r.Heard:
		return r.keep(Settle)
	}
	return r.keep()
}

// Receive decides on a message of the target. One of another incarnation is answered as
// if there were no record.
func (r OriginRecord) Receive(m *Message, grantor *Grantor, now units.Micros) OriginDecision {
	if m.Transfer != r.Transfer {
		return OriginDecision{Record: r, Send: ReceiveUnknown(m)}
	}
	switch m.Kind {
	case Reserved:
		return r.reserved()
	case NoRoom:
		if r.Phase == Intended {
			return r.returned(true)
		}
	case Accepted:
		if r.Phase != Committed {
			return r.Repeat()
		}
	case Renew:
		return r.renew(m, grantor, now)
	case Refused:
		return r.refused(m)
	case Result:
		return r.result(m)
	}
	return r.keep()
}

// reserved: the target has room. An answer to a transfer that was given up frees it.
func (r OriginRecord) reserved() OriginDecision {
	if r.Phase != Intended {
		return r.Repeat()
	}
	r.Phase = Committed
	return r.save(Commit)
}

// renew grants a run of the job. What lets the target begin a run is stored before.
func (r OriginRecord) renew(m *Message, grantor *Grantor, now units.Micros) OriginDecision {
	if r.Phase != Committed {
		return r.Repeat()
	}
	if m.Run < r.Run || m.Run > r.Run+1 || r.Reruns+m.Run-1 > max(r.Allowance, r.Reruns) {
		return r.keep() // late, or no run that the class allows
	}
	save := m.Run > r.Run
	r.Run = m.Run
	if !r.Done.Contains(m.Done) {
		r.Done, save = r.Done.Union(m.Done), true
	}
	grant := r.message(Grant)
	grant.Renewal = m.Renewal
	grant.Run = m.Run
	grant.Unbounded = r.unbounded()
	grantor.granted(now)
	return OriginDecision{Record: r, Save: save, Send: []Message{grant}}
}

// refused: nothing of the job is at the target, for good.
func (r OriginRecord) refused(m *Message) OriginDecision {
	r.Done = r.Done.Union(m.Done)
	r.Run = min(r.Run, m.Run) // runs that were granted and never begun are none
	switch r.Phase {
	case Intended, Committed:
		return r.returned(true)
	case Revoking:
		return r.released(true)
	}
	if r.Heard {
		return r.keep(Settle)
	}
	r.Heard = true
	return r.save(Settle)
}

// result: all tasks are done. It holds even for a job that was taken back meanwhile.
func (r OriginRecord) result(m *Message) OriginDecision {
	switch r.Phase {
	case Finished:
		return r.keep(Settle)
	case Withdrawn:
		if r.Heard {
			return r.keep(Settle)
		}
		r.Heard = true // its user was told that it is cancelled
		return r.save(Settle)
	}
	r.Phase, r.Heard = Finished, true
	r.Done = r.Done.Union(m.Done)
	return r.save(Settle)
}

// returned gives the job back to its origin. Nothing ran at the target that could go on.
func (r OriginRecord) returned(heard bool) OriginDecision {
	r.Phase, r.Heard = Returned, heard
	if heard {
		return r.save(Settle)
	}
	return r.save(Revoke)
}

// released ends a revocation: nothing of the job runs at the target.
func (r OriginRecord) released(heard bool) OriginDecision {
	if r.Cause != Cancelled {
		return r.returned(heard)
	}
	r.Phase, r.Heard = Withdrawn, heard
	if heard {
		return r.save(Settle)
	}
	return r.save(Revoke)
}

// Cancel is called when the job's user cancels it. The user may be told so once the job
// is Withdrawn, or Returned and cancelled here.
func (r OriginRecord) Cancel() OriginDecision {
	switch r.Phase {
	case Intended:
		return r.returned(false)
	case Committed:
		if r.Run == 0 {
			return r.returned(false) // nothing was ever granted
		}
		r.Phase, r.Cause = Revoking, Cancelled
		return r.save(Revoke)
	case Revoking:
		if r.Cause != Cancelled {
			r.Cause = Cancelled
			return r.save(Revoke)
		}
	}
	return r.keep()
}

// Ended is called when a job that had returned is done or cancelled at its origin. The
// record is stored before the job's end, or with it: a result that comes late from the
// target must not change what the user was told.
func (r OriginRecord) Ended() OriginDecision {
	if r.Phase != Returned {
		return r.keep()
	}
	r.Phase = Withdrawn
	return r.save()
}

// TakeBack begins to take a job back whose target was not heard for too long.
func (r OriginRecord) TakeBack() OriginDecision {
	switch {
	case r.Phase == Intended:
		return r.returned(false)
	case !r.CanBeTakenBack():
		return r.keep()
	case r.Run == 0:
		return r.returned(false)
	}
	r.Phase, r.Cause = Revoking, TakenBack
	return r.save(Revoke)
}

// Tick ends a revocation by time, once nothing of the job can run at the target.
func (r OriginRecord) Tick(grantor *Grantor, now units.Micros, terms Terms) OriginDecision {
	if r.Phase == Revoking && !r.unbounded() && grantor.Lapsed(now, terms) {
		return r.released(false)
	}
	return r.keep()
}

// Over tells whether the record can be removed: the job needs it no more, and the target
// has been heard.
func (r *OriginRecord) Over() bool {
	return r.Heard && (r.Phase == Returned || r.Phase == Finished || r.Phase == Withdrawn)
}

// ReceiveUnknown answers a message about a transfer that the origin has no record of: it
// is over.
func ReceiveUnknown(m *Message) []Message {
	kind := Revoke
	if m.Kind == Result || m.Kind == Refused {
		kind = Settle
	}
	return []Message{{Kind: kind, Transfer: m.Transfer}}
}
