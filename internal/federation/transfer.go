package federation

import (
	"cmp"
	"fmt"
	"regexp"

	"dunestand/internal/protocol"
)

// TransferID names one attempt to move a job. The incarnation is raised for each, so
// that what is late from an earlier one is known.
type TransferID struct {
	Origin      string `cbor:"from"`
	Job         string `cbor:"job"`
	Incarnation uint64 `cbor:"n"`
}

func (t TransferID) String() string { return fmt.Sprintf("%s/%s#%d", t.Origin, t.Job, t.Incarnation) }

// check tells what is wrong with an id that came from outside.
func (t TransferID) check() error {
	switch {
	case !ValidCellName(t.Origin):
		return fmt.Errorf("transfer %q: bad name of a cell", t)
	case !protocol.ValidJobID(t.Job):
		return fmt.Errorf("transfer %q: bad id of a job", t)
	case t.Incarnation == 0:
		return fmt.Errorf("transfer %q: no incarnation", t)
	}
	return nil
}

// cellNamePattern is what a cell may be called: its name is part of keys and addresses.
var cellNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// ValidCellName tells whether a cell may have a name.
func ValidCellName(name string) bool { return cellNamePattern.MatchString(name) }

// compareTransferIDs orders transfers.
func compareTransferIDs(a, b TransferID) int {
	return cmp.Or(
		cmp.Compare(a.Origin, b.Origin),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
