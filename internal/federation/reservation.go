package federation

import (
	"maps"
	"slices"

	"dunestand/internal/units"
)

// Reservations tracks the capacity of a target that is reserved for jobs of other cells. The
// capacity is divided equally among the origins with a request within requestWindow: an origin
// may reserve no more than its fair share while others request capacity, otherwise all of it.
// Times are on the leader's steady clock. Reservations is not safe for concurrent use.
type Reservations struct {
	// HoldTime is the time after which an uncommitted reservation expires.
	HoldTime units.Micros

	capacity    Work
	byID        map[TransferID]reservation
	lastRequest map[string]units.Micros // by origin
}

type reservation struct {
	work    Work
	expires units.Micros // 0: committed, does not expire
}

// requestWindow is the time after its last request for which an origin counts towards the fair
// share.
const requestWindow = 30 * units.Second

// NewReservations returns an empty set of reservations with a capacity of 0.
func NewReservations(holdTime units.Micros) *Reservations {
	return &Reservations{
		HoldTime:    holdTime,
		byID:        map[TransferID]reservation{},
		lastRequest: map[string]units.Micros{},
	}
}

// SetCapacity sets the capacity for jobs of other cells. Existing reservations are kept, even
// if they exceed the new capacity.
func (r *Reservations) SetCapacity(work Work) { r.capacity = max(0, work) }

// Reserve reserves work for a transfer and reports whether it succeeded. A repeated call for
// the same transfer succeeds, and extends its reservation if that is not committed yet.
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

// Restore recreates the reservation of a stored record, regardless of the capacity.
func (r *Reservations) Restore(record TargetRecord, now units.Micros) {
	switch record.Phase {
	case TargetReserved:
		r.byID[record.Transfer] = reservation{work: record.Work, expires: now + r.HoldTime}
	case TargetAccepted:
		r.byID[record.Transfer] = reservation{work: record.Work}
	}
}

// Commit makes a reservation permanent until it is released.
func (r *Reservations) Commit(id TransferID) {
	if held, ok := r.byID[id]; ok {
		held.expires = 0
		r.byID[id] = held
	}
}

// Release frees the reservation of a transfer, if it has one.
func (r *Reservations) Release(id TransferID) { delete(r.byID, id) }

// Expired returns the transfers whose reservations have expired, in the order of
// compareTransferIDs. The caller must store the refusal of each before it calls Release;
// until then the capacity remains reserved.
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

// Free returns the unreserved capacity.
func (r *Reservations) Free() Work { return max(0, r.capacity-r.reserved()) }

// reserved returns the total work reserved for all origins.
func (r *Reservations) reserved() Work {
	total := Work(0)
	for _, held := range r.byID {
		total += held.work
	}
	return total
}

// reservedBy returns the total work reserved for an origin.
func (r *Reservations) reservedBy(origin string) Work {
	total := Work(0)
	for id, held := range r.byID {
		if id.Origin == origin {
			total += held.work
		}
	}
	return total
}

// fairShare returns the capacity divided by the number of origins with a request within
// requestWindow.
func (r *Reservations) fairShare(now units.Micros) Work {
	maps.DeleteFunc(r.lastRequest, func(_ string, at units.Micros) bool { return now-at > requestWindow })
	return r.capacity / Work(max(1, len(r.lastRequest)))
}
