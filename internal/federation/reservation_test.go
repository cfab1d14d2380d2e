package federation

import (
	"testing"

	"dunestand/internal/units"
)

// Origins that request capacity at the same time share it equally, and a single requester may
// reserve all of it. Existing reservations are kept when the capacity shrinks.
func TestReservationsAreSharedFairly(t *testing.T) {
	id := func(origin string, n uint64) TransferID {
		return TransferID{Origin: origin, Job: "j-000001", Incarnation: n}
	}
	r := NewReservations(5 * units.Second)
	if r.Reserve(id("mill", 1), 1, 0) {
		t.Fatal("a reservation succeeds before SetCapacity")
	}
	r.SetCapacity(10)
	r.Reserve(id("dye", 1), 1, 0)
	for n := range uint64(10) {
		r.Reserve(id("mill", 10+n), 1, 0)
	}
	if mill := r.reservedBy("mill"); mill != 5 {
		t.Errorf("cell mill has reserved %d of 10 while dye also requests, want 5", mill)
	}
	for n := range uint64(10) {
		r.Reserve(id("dye", 10+n), 1, 0)
	}
	if r.Free() != 0 || r.reservedBy("dye") != 5 {
		t.Errorf("cell dye has reserved %d and %d are free, want 5 and 0", r.reservedBy("dye"), r.Free())
	}
	r.Commit(id("mill", 10))
	later := 6 * units.Second
	if expired := r.Expired(later); len(expired) != 9 {
		t.Errorf("%d reservations have expired, want 9: all but the committed one", len(expired))
	}
	for _, expired := range r.Expired(later) {
		r.Release(expired)
	}
	alone := later + requestWindow + 1
	if !r.Reserve(id("dye", 99), 9, alone) || r.Reserve(id("dye", 100), 1, alone) {
		t.Error("a single requester cannot reserve exactly the unreserved capacity")
	}
	r.SetCapacity(1) // machines were lost
	if r.Free() != 0 || r.reserved() != 10 || r.Reserve(id("mill", 200), 1, alone) {
		t.Errorf("after the capacity shrank: %d reserved and %d free, want 10 and 0", r.reserved(), r.Free())
	}
}
