package admissioncontrol

import "context"

// contextMutex is a mutex that is waited for until a context ends. The channel holds a token
// while it is locked.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

// lock waits for the mutex. It fails with the context's error if ctx ends first.
func (m contextMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m contextMutex) unlock() { <-m }
