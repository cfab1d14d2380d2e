package storage

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// FormatRecord is a format, of a controller or of the fleet.
type FormatRecord struct {
	Format    Format `cbor:"format"`
	WrittenBy string `cbor:"by"` // the controller that wrote it
}

// LeaseRecord is a leased record: the leader lease, which names the leader and whose
// incarnation is the fencing token, or a bucket's head.
type LeaseRecord struct {
	Holder      string `cbor:"holder"`
	Incarnation uint64 `cbor:"incarnation"`
	WriteID     string `cbor:"save"`               // of the write, so that its author recognises it
	Resigned    bool   `cbor:"resigned,omitempty"` // the holder gave it up: no need to wait
	// HandedOverAt is the time of day when a holder that had fallen behind last gave
	// it up.
	HandedOverAt units.Micros `cbor:"handed,omitempty"`
}

// TerminalRecord is the record of a finished job: its terminal state.
type TerminalRecord struct {
	Stage   protocol.JobStage `cbor:"stage"`
	Tasks   int               `cbor:"tasks"`
	Done    int               `cbor:"done"` // completed tasks
	WriteID string            `cbor:"save"`
}

// StoredTerminalRecord is a TerminalRecord as it was read or written.
type StoredTerminalRecord struct {
	TerminalRecord
	Version uint64
}
