package federation

import (
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Reservations are what a target has reserved of the capacity that it can spare. Cells that
// ask at the same time share it equally: what one does not ask for the others may have, but
// none gets more than its fair share while others ask. Times are of the leader's steady
// clock. It is not safe for concurrent use.
type Reservations struct {
	// HoldTime is for how long a reservation lasts that no commitment follows.
	HoldTime units.Micros

	capacity    Work
	byID        map[TransferID]reservation
	lastRequest map[string]units.Micros // by origin
}

type reservation struct {
	work    Work
	expires units.Micros // 0: committed, it lasts until it is released
}

// requestWindow is for how long after its last request an origin counts as one that asks.
const requestWindow = 30 * units.Second

// NewReservations returns empty reservations. Nothing is reserved before SetCapacity.
func NewReservations(holdTime units.Micros) *Reservations {
	return &Reservations{
		HoldTime:    holdTime,
		byID:        map[TransferID]reservation{},
		lastRequest: map[string]units.Micros{},
	}
}

// SetCapacity sets how much work of other cells the cell can run beside its own. What is
// reserved already stays reserved.
func (r *Reservations) SetCapacity(work Work) { r.capacity = max(0, work) }

// Reserve reserves work for a transfer and reports whether there was capacity. Another call
// for the same transfer extends its reservation.
func (r *Reservations) Reserve(id TransferID, work Work, now units.Micros) bool {
	r.lastRequest[id.Origin] = now
	if held, ok := r.byID[id]; ok {
		if held.expires != 0 {
			held.expires = now + r.HoldTime
			r.byID[id] = held
		}
		return true
	}
	if work <= 0 || work > r.capacity-r.reserved() || work > r.fairShare(now)-r.reservedBy(id.Origin) {
		return false
	}
	r.byID[id] = reservation{work: work, expires: now + r.HoldTime}
	return true
}

// Restore reserves what a record says, whatever the capacity is.
func (r *Reservations) Restore(record TargetRecord, now units.Micros) {
	switch record.Phase {
	case TargetReserved:
		r.byID[record.Transfer] = reservation{work: record.Work, expires: now + r.HoldTime}
	case TargetAccepted:
		r.byID[record.Transfer] = reservation{work: record.Work}
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

// Expired returns the transfers whose reservations have expired, in order. They stay
// reserved until they are released, once their refusal is stored.
func (r *Reservations) Expired(now units.Micros) []TransferID {
	var expired []TransferID
	for id, held := range r.byID {
		if held.expires != 0 && now >= held.expires {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, compareTransferIDs)
	return expired
}

// Free returns what can still be reserved.
func (r *Reservations) Free() Work { return max(0, r.capacity-r.reserved()) }

// reserved returns what is reserved for all origins.
func (r *Reservations) reserved() Work {
	total := Work(0)
	for _, held := range r.byID {
		total += held.work
	}
	return total
}

// reservedBy returns what is reserved for an origin.
func (r *Reservations) reservedBy(origin string) Work {
	total := Work(0)
	for id, held := range r.byID {
		if id.Origin == origin {
			total += held.work
		}
	}
	return total
}

// fairShare returns what each of the origins that ask may have.
func (r *Reservations) fairShare(now units.Micros) Work {
	maps.DeleteFunc(r.lastRequest, func(_ string, at units.Micros) bool { return now-at > requestWindow })
	return r.capacity / Work(max(1, len(r.lastRequest)))
}
