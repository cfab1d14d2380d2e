package protocol

import "fmt"

// FieldError reports an invalid field of a message. Its text is a single line that may be
// returned to the sender of the message.
type FieldError struct {
	Field   string // name on the wire
	Problem string
	Err     error // the cause, or nil
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Field, e.Problem, e.Err)
	}
	return e.Field + ": " + e.Problem
}

// Unwrap returns the cause, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError without a cause.
func fieldError(field, problem string) error {
	return &FieldError{Field: field, Problem: problem}
}
