package storage

// Format is a format of records. It is stored as its number.
type Format int

// Formats of a job's records. In the old one a single record names all
// machines, and the pages of a large done set follow it. Controllers that know
// no other may lead until the fleet's format is raised. In the new one every
// record has a bounded size, however large the job is and whatever machines it is on.
const (
	FormatOld Format = 1
	FormatNew Format = 2
	// FormatAdmission has the records of FormatNew. All controllers of such a fleet
	// admit jobs by the admission plan; one that does not know it must not lead.
	FormatAdmission Format = 3
	// NewestFormat is the newest that this version reads and writes.
	NewestFormat = FormatAdmission
)
