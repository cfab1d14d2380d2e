package kv

import (
	"errors"
	"fmt"
)

// Outcomes of a request to the key-value store that are not success. A compare-and-swap whose
// versions did not match fails with a *VersionConflictError.
var (
	// ErrRefused: the request was not carried out.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrOutcomeUnknown: it may have been carried out, or may be still.
	ErrOutcomeUnknown = errors.New("key-value store did not answer")
	// ErrInvalidRequest: it was not carried out, and will not be as it is.
	ErrInvalidRequest = errors.New("key-value store rejected the request as invalid")
	// ErrCompacted: the store does not keep changes from so far back; the keys
	// have to be read again.
	ErrCompacted = errors.New("changes are no longer kept")
)

// VersionConflictError holds the keys whose version was not the expected one.
type VersionConflictError struct{ Keys []string }

func (e *VersionConflictError) Error() string { return fmt.Sprintf("version conflict on %v", e.Keys) }

// StatusError is a status that the store does not have for such a request.
type StatusError struct {
	Request string // its method and path, or what it does
	Status  int    // HTTP
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Request, e.Status) }
