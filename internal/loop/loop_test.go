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
		t.Fatal("raised signal not received")
	}
	select {
	case <-signal:
		t.Error("signal raised twice before the first receive is received twice")
	default:
	}
	signal.Raise()
	select {
	case <-signal:
	default:
		t.Error("signal raised again after the receive is not received")
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	if !Sleep(t.Context(), 0) || !Sleep(t.Context(), units.Millisecond) {
		t.Error("sleep with a live context returned false")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if Sleep(ctx, 3600*units.Second) {
		t.Error("sleep with an ended context returned true")
	}
}
