package election

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/units"
)

// holdingElector returns an elector that holds the lease with the given token and never loses it
// by expiry.
func holdingElector(token uint64, clock units.Clock) *Elector {
	e := NewElector(Deps{
		Name:   "n",
		Clock:  clock,
		Timing: TimingFor(10 * units.Second),
		Random: rand.New(rand.NewPCG(1, token)),
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	e.leading, e.token, e.validUntil = true, token, 1<<60
	return e
}

// The lease is handed over at most once per minHandOverInterval, also across holders: the lease
// record carries the time of the last hand-over.
func TestSecondHandOverWithinTheIntervalIsRefused(t *testing.T) {
	clock := &fake.Clock{Now: 1000 * units.Second}
	lease := holdingElector(1, clock)
	if !lease.HandOver(clock.Now) || lease.Valid(1) {
		t.Fatal("not handed over")
	}
	next := holdingElector(2, clock)
	next.handedOverAt = lease.handedOverAt // as read from the record
	clock.Now += minHandOverInterval - units.Second
	if next.HandOver(clock.Now) || !next.Valid(2) {
		t.Error("handed over again within the interval")
	}
	clock.Now += 2 * units.Second
	if !next.HandOver(clock.Now) {
		t.Error("not handed over after the interval")
	}
}
