package storage

import "fmt"

// RecordError is a stored record that cannot be used: it is malformed, has a format that this
// version does not support, or contradicts its key or other records.
type RecordError struct {
	Key string // of the record
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the reason why the record cannot be used.
func (e *RecordError) Unwrap() error { return e.Err }

// UnknownFormatError is a record format that this version does not support; a later version may
// have written the record.
type UnknownFormatError Format

func (e UnknownFormatError) Error() string {
	return fmt.Sprintf("unsupported record format %d", int(e))
}
