package persister

import (
	"errors"
	"fmt"
)

// UnreadableRecordError says that this version cannot read a record.
type UnreadableRecordError struct {
	Key string
	Err error
}

// Error implements error.
func (e *UnreadableRecordError) Error() string {
	return fmt.Sprintf("record %s is not readable: %v", e.Key, e.Err)
}

// Unwrap returns why the record is not readable.
func (e *UnreadableRecordError) Unwrap() error { return e.Err }

var (
	// errJobsUnreadable says that some record of the jobs cannot be read by this version, so
	// that a leader would forget the job. Restore abstains on it; other records that are not
	// readable make it try again.
	errJobsUnreadable = errors.New("jobs not readable")
	errNoSuchJob      = errors.New("belongs to no job")
	errNotTerminal    = errors.New("holds no terminal stage")
)
