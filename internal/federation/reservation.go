package federation

import (
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Reservations keeps what a target has promised within what it can spare. Cells that ask at
// the same time share it equally: what one does not ask for the others may have, but
// nobody gets more than its share while others ask.
type Reservations struct {
	// HoldTime is for how long a reservation lasts that no commitment follows.
	HoldTime units.Micros

	capacity    Work
	byID        map[TransferID]reservation
	lastRequest map[string]units.Micros // by origin: when it last asked
}

type reservation struct {
	work    Work
	expires units.Micros // 0: committed, it lasts until it is released
}

// requestWindow is for how long an origin counts as one that asks.
const requestWindow = 30 * units.Second

// NewReservations makes an empty ledger. Nothing can be promised before SetCapacity.
func NewReservations(hold units.Micros) *Reservations {
	return &Reservations{
		HoldTime:    hold,
		byID:        map[TransferID]reservation{},
		lastRequest: map[string]units.Micros{},
	}
}

// SetCapacity tells how much work the cell can take over beside its own. What is promised
// already stays promised.
func (r *Reservations) SetCapacity(work Work) { r.capacity = max(0, work) }

// Reserve reserves work for a transfer and tells whether there was room. A repeated call for
// the same transfer prolongs its reservation.
func (r *Reservations) Reserve(id TransferID, work Work, now units.Micros) bool {
	r.lastRequest[id.Origin] = now
	if old, held := r.byID[id]; held {
		if old.expires != 0 {
			old.expires = now + r.HoldTime
			r.byID[id] = old
		}
		return true
	}
	if work <= 0 || work > r.capacity-r.reservedBy("") || work > r.fairShare(now)-r.reservedBy(id.Origin) {
		return false
	}
	r.byID[id] = reservation{work: work, expires: now + r.HoldTime}
	return true
}

// Restore takes over what a record tells, without asking for room.
func (r *Reservations) Restore(t TargetRecord, now units.Micros) {
	switch t.Phase {
	case TargetReserved:
		r.byID[t.Transfer] = reservation{work: t.Work, expires: now + r.HoldTime}
	case TargetAccepted:
		r.byID[t.Transfer] = reservation{work: t.Work}
	}
}

// Commit makes a reservation last until it is released.
func (r *Reservations) Commit(id TransferID) {
	if held, ok := r.byID[id]; ok {
		held.expires = 0
		r.byID[id] = held
	}
}

// Release frees what is reserved for a transfer.
func (r *Reservations) Release(id TransferID) { delete(r.byID, id) }

// Expired lists the transfers whose reservations have run out. They stay reserved until
// they are released, once their refusal is durable.
func (r *Reservations) Expired(now units.Micros) []TransferID {
	var out []TransferID
	for id, held := range r.byID {
		if held.expires != 0 && now >= held.expires {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, compareTransferIDs)
	return out
}

// Free is what can still be promised.
func (r *Reservations) Free() Work { return max(0, r.capacity-r.reservedBy("")) }

// reservedBy is what is reserved for an origin, "": for all.
func (r *Reservations) reservedBy(origin string) Work {
	total := Work(0)
	for id, held := range r.byID {
		if origin == "" || id.Origin == origin {
			total += held.work
		}
	}
	return total
}

// fairShare is what each of the origins that ask may have.
func (r *Reservations) fairShare(now units.Micros) Work {
	maps.DeleteFunc(r.lastRequest, func(_ string, at units.Micros) bool { return now-at > requestWindow })
	return r.capacity / Work(max(1, len(r.lastRequest)))
}
