package protocol

import "fmt"

// FieldError says what is wrong with a field of a message. Its text is one line, fit for the
// sender of the message.
type FieldError struct {
	Field   string // its name on the wire
	Problem string
	Err     error // the cause, or nil
}

// Error returns the field, the problem and the cause.
func (e *FieldError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Field, e.Problem, e.Err)
	}
	return e.Field + ": " + e.Problem
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError without a cause.
func fieldError(field, problem string) error {
	return &FieldError{Field: field, Problem: problem}
}
