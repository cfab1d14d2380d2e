package config

import "fmt"

// FieldError reports a missing or invalid setting. Its text is a single line.
type FieldError struct {
	Field   string // the path in the file, such as settings.workers.report_s
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Position is a location in a policy file. Lines and columns count from 1, columns in
// characters.
type Position struct {
	File         string
	Line, Column int
}

// String formats the position as compilers do: file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// PolicyError reports a mistake in a policy file. Its text is a single line that begins with the
// position.
type PolicyError struct {
	Position Position
	Err      error
}

func (e *PolicyError) Error() string { return e.Position.String() + ": " + e.Err.Error() }

// Unwrap returns the mistake without its position.
func (e *PolicyError) Unwrap() error { return e.Err }

func (p Position) errorf(format string, args ...any) error {
	return &PolicyError{Position: p, Err: fmt.Errorf(format, args...)}
}
