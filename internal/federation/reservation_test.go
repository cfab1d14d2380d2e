package federation

import (
	"testing"

	"dunestand/internal/units"
)

// Two cells that ask at the same time share the capacity; one that asks alone may have all
// of it, and what is reserved stays reserved.
func TestReservationsAreSharedFairly(t *testing.T) {
	id := func(origin string, n uint64) TransferID {
		return TransferID{Origin: origin, Job: "j-000001", Incarnation: n}
	}
	r := NewReservations(5 * units.Second)
	if r.Reserve(id("mill", 1), 1, 0) {
		t.Fatal("something is reserved before the capacity is known")
	}
	r.SetCapacity(10)
	r.Reserve(id("dye", 1), 1, 0)
	for n := range uint64(10) {
		r.Reserve(id("mill", 10+n), 1, 0)
	}
	if mill := r.reservedBy("mill"); mill != 5 {
		t.Errorf("mill has %d of 10 while dye asks, want 5", mill)
	}
	for n := range uint64(10) {
		r.Reserve(id("dye", 10+n), 1, 0)
	}
	if r.Free() != 0 || r.reservedBy("dye") != 5 {
		t.Errorf("dye has %d, %d are free", r.reservedBy("dye"), r.Free())
	}
	r.Commit(id("mill", 10))
	later := 6 * units.Second
	if expired := r.Expired(later); len(expired) != 9 {
		t.Errorf("%d reservations have expired, want all but the committed one", len(expired))
	}
	for _, expired := range r.Expired(later) {
		r.Release(expired)
	}
	alone := later + requestWindow + 1
	if !r.Reserve(id("dye", 99), 9, alone) || r.Reserve(id("dye", 100), 1, alone) {
		t.Error("a cell that asks alone gets less or more than what is left")
	}
	r.SetCapacity(1) // machines are lost: what is reserved stays, nothing new is reserved
	if r.Free() != 0 || r.reserved() != 10 || r.Reserve(id("mill", 200), 1, alone) {
		t.Errorf("after machines were lost: %d reserved, %d free", r.reserved(), r.Free())
	}
}
