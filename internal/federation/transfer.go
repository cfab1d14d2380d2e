package federation

import (
	"cmp"
	"fmt"
	"regexp"

	"dunestand/internal/protocol"
)

// TransferID identifies one transfer of a job.
type TransferID struct {
	// Origin is the name of the cell that the job belongs to. Job is the ID of the job in that
	// cell.
	Origin string `cbor:"from"`
	Job    string `cbor:"job"`
	// Incarnation is at least 1 and increases with each transfer of the job, so that late
	// messages of an earlier transfer are recognized.
	Incarnation uint64 `cbor:"n"`
}

// String returns origin, job and incarnation in the form used in logs.
func (t TransferID) String() string { return fmt.Sprintf("%s/%s#%d", t.Origin, t.Job, t.Incarnation) }

// check returns an error if a field is invalid. It is used for IDs from messages and records.
func (t TransferID) check() error {
	switch {
	case !validCellName(t.Origin):
		return fmt.Errorf("transfer %q: invalid cell name", t)
	case !protocol.ValidJobID(t.Job):
		return fmt.Errorf("transfer %q: invalid job ID", t)
	case t.Incarnation == 0:
		return fmt.Errorf("transfer %q: missing incarnation", t)
	}
	return nil
}

// cellNamePattern excludes "/", since cell names are part of keys of the key-value store.
var cellNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// validCellName reports whether name is a valid cell name.
func validCellName(name string) bool { return cellNamePattern.MatchString(name) }

// compareTransferIDs orders transfers by origin, job and incarnation.
func compareTransferIDs(a, b TransferID) int {
	return cmp.Or(
		cmp.Compare(a.Origin, b.Origin),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
