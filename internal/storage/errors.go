package storage

import "fmt"

// RecordError says that a record cannot be read: it is not well-formed, is of a format that
// this version does not know, or contradicts its key or other records.
type RecordError struct {
	Key string // of the record
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the record.
func (e *RecordError) Unwrap() error { return e.Err }

// UnknownFormatError is the format of a record that this version does not know: a later
// version may have written it.
type UnknownFormatError Format

func (e UnknownFormatError) Error() string { return fmt.Sprintf("format %d is not known", int(e)) }
