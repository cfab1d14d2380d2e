package storage

// Format is the version number of a record format. It is stored as an integer.
type Format int

// Record formats. A later format has a larger number.
const (
	// FormatV1 keeps the names of all of a job's machines in a single record, followed by the
	// pages of a large done set. Controllers that support only this format may lead until the
	// fleet format is raised.
	FormatV1 Format = 1
	// FormatV2 bounds the size of every record, regardless of the size of the job and the number
	// of its machines.
	FormatV2 Format = 2
	// FormatV3 has the records of FormatV2. All controllers of a fleet in this format admit jobs
	// by the admission plan; one that does not support the plan must not lead.
	FormatV3 Format = 3
	// NewestFormat is the newest format that this version reads and writes.
	NewestFormat = FormatV3
)
