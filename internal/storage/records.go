package storage

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// FormatRecord stores the newest format that a controller reads, or the fleet format.
type FormatRecord struct {
	Format    Format `cbor:"format"`
	WrittenBy string `cbor:"by"` // name of the controller that wrote the record
}

// LeaseRecord is the record of the leader lease, or the head of a bucket. In the leader lease Holder
// is the leader and Incarnation its fencing token.
type LeaseRecord struct {
	Holder      string `cbor:"holder"`
	Incarnation uint64 `cbor:"incarnation"`
	WriteID     string `cbor:"save"`               // lets a writer recognise its own write
	Resigned    bool   `cbor:"resigned,omitempty"` // the holder resigned: others need not wait for the expiry
	// HandedOverAt is the time of day at which a holder that had fallen behind last handed the
	// lease over.
	HandedOverAt units.Micros `cbor:"handed,omitempty"`
}

// TerminalRecord is the stored terminal state of a job.
type TerminalRecord struct {
	Stage   protocol.JobStage `cbor:"stage"`
	Tasks   int               `cbor:"tasks"`
	Done    int               `cbor:"done"` // number of completed tasks
	WriteID string            `cbor:"save"`
}

// StoredTerminalRecord is a TerminalRecord with its version in the key-value store.
type StoredTerminalRecord struct {
	TerminalRecord
	Version uint64
}
