package persister

import "errors"

var (
	// errJobsUnreadable says that some record of the jobs cannot be read by this version, so
	// that a leader would forget the job. Restore abstains on it; other records that are not
	// readable make it try again.
	errJobsUnreadable = errors.New("jobs not readable")
	errNoSuchJob      = errors.New("belongs to no job")
	errNotTerminal    = errors.New("holds no terminal stage")
)
