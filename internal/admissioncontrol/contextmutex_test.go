package admissioncontrol

import (
	"context"
	"errors"
	"testing"
)

func TestContextMutexLockEndsWithContext(t *testing.T) {
	m := newContextMutex()
	if err := m.lock(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := m.lock(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("locked twice: %v", err)
	}
	locked := make(chan error)
	go func() { locked <- m.lock(t.Context()) }()
	m.unlock()
	if err := <-locked; err != nil {
		t.Errorf("not locked once it was free: %v", err)
	}
}
