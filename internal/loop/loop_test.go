package loop

import (
	"context"
	"testing"

	"dunestand/internal/units"
)

func TestSignalIsReceivedOnceHoweverOftenRaised(t *testing.T) {
	signal := NewSignal()
	signal.Raise()
	signal.Raise()
	select {
	case <-signal:
	default:
		t.Fatal("raised, and not received")
	}
	select {
	case <-signal:
		t.Error("received twice")
	default:
	}
	signal.Raise()
	select {
	case <-signal:
	default:
		t.Error("raised again, and not received")
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	if !Sleep(t.Context(), 0) || !Sleep(t.Context(), units.Millisecond) {
		t.Error("a pause did not last")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if Sleep(ctx, 3600*units.Second) {
		t.Error("a pause outlasted its context")
	}
}
