package admissioncontrol

import "context"

// contextMutex is a mutex whose lock operation ends with a context. Its channel holds an element
// while the mutex is locked.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

// lock locks the mutex. It returns the error of ctx if ctx ends first.
func (m contextMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m contextMutex) unlock() { <-m }
