package federation

import (
	"cmp"
	"fmt"
	"regexp"

	"dunestand/internal/protocol"
)

// TransferID identifies one transfer of a job.
type TransferID struct {
	// Origin is the name of the cell that the job belongs to, Job the job's id there.
	Origin string `cbor:"from"`
	Job    string `cbor:"job"`
	// Incarnation, from 1, is greater with each new transfer of the job, so that late
	// messages of an earlier one are recognised.
	Incarnation uint64 `cbor:"n"`
}

// String returns origin, job and incarnation, as they appear in logs.
func (t TransferID) String() string { return fmt.Sprintf("%s/%s#%d", t.Origin, t.Job, t.Incarnation) }

// check returns what is wrong with an id that came from outside, nil if nothing is.
func (t TransferID) check() error {
	switch {
	case !validCellName(t.Origin):
		return fmt.Errorf("transfer %q: bad name of a cell", t)
	case !protocol.ValidJobID(t.Job):
		return fmt.Errorf("transfer %q: bad id of a job", t)
	case t.Incarnation == 0:
		return fmt.Errorf("transfer %q: no incarnation", t)
	}
	return nil
}

// cellNamePattern has no "/": a cell's name is part of keys.
var cellNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// validCellName reports whether a cell may have a name.
func validCellName(name string) bool { return cellNamePattern.MatchString(name) }

// compareTransferIDs orders transfers by origin, job and incarnation.
func compareTransferIDs(a, b TransferID) int {
	return cmp.Or(
		cmp.Compare(a.Origin, b.Origin),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
