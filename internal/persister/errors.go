package persister

import "errors"

var (
	// errJobsUnreadable means that this version cannot use the record of some job. A leader
	// without that record would lose the job, so Restore abstains from the leadership. After
	// other errors Restore is retried without abstaining.
	errJobsUnreadable = errors.New("jobs not readable")
	errNoSuchJob      = errors.New("belongs to no job")
	errNotTerminal    = errors.New("holds no terminal stage")
)
