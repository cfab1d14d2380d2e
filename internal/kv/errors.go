package kv

import (
	"errors"
	"fmt"
)

// Errors of a request to the key-value store. A compare-and-swap whose conditions do not hold fails
// with a *VersionConflictError.
var (
	// ErrRefused means that the request was not carried out.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrOutcomeUnknown means that the request may have been carried out, or may still be carried
	// out later: there was no response, or it could not be decoded.
	ErrOutcomeUnknown = errors.New("no usable response from the key-value store")
	// ErrInvalidRequest means that the request was not carried out; a retry would fail as well.
	ErrInvalidRequest = errors.New("key-value store rejected the request as invalid")
	// ErrCompacted means that the store no longer keeps changes from the requested revision on.
	// The keys must be read again.
	ErrCompacted = errors.New("changes after the requested revision have been compacted")
)

// VersionConflictError is a compare-and-swap that was not carried out because the versions of Keys
// did not match its conditions.
type VersionConflictError struct{ Keys []string }

// Error implements error.
func (e *VersionConflictError) Error() string { return fmt.Sprintf("version conflict on %v", e.Keys) }

// StatusError is a response with an HTTP status that is not expected for the request.
type StatusError struct {
	Request string // method and path, or a description of the request
	Status  int    // HTTP status code
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected HTTP status %d", e.Request, e.Status)
}
