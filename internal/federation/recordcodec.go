package federation

import (
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/protocol"
)

// Prefixes of the keys of transfer records in the key-value store.
const (
	// PrefixOut is followed by a job's id: a transfer of a job of this cell.
	PrefixOut = "transfer/out/"
	// IncomingPrefix is followed by origin, job and incarnation: a transfer of another
	// cell's job.
	IncomingPrefix = "transfer/in/"
)

// recordFormat is the format of both records that this version reads and writes.
const recordFormat = 1

// ErrUnreadableRecord says that a record of a transfer cannot be read. Its job is not restored,
// and the record is not replaced.
var ErrUnreadableRecord = errors.New("unreadable record of a transfer")

// Key returns the key of the origin's record. A job has one transfer at a time.
func (r OriginRecord) Key() string { return outgoingKey(r.Transfer.Job) }

// Key returns the key of the target's record.
func (r TargetRecord) Key() string { return incomingKey(r.Transfer) }

func outgoingKey(job string) string { return PrefixOut + job }

func incomingKey(id TransferID) string {
	return fmt.Sprintf("%s%s/%s/%d", IncomingPrefix, id.Origin, id.Job, id.Incarnation)
}

// JobFromKey returns the job of an origin's record by the record's key, and whether it is
// the key of such a record.
func JobFromKey(key string) (string, bool) { return strings.CutPrefix(key, PrefixOut) }

// storedRecord is the envelope in which both records are stored.
type storedRecord[R transferRecord] struct {
	Format  int    `cbor:"v"`
	WriteID string `cbor:"save"`
	Record  R      `cbor:"record"`
}

// Encode returns the value that is stored. writeID identifies the write: its author finds
// out by it whether one that got no answer was carried out.
func (r OriginRecord) Encode(writeID string) []byte { return encodeRecord(r, writeID) }

// Encode returns the value that is stored. writeID identifies the write, as for
// OriginRecord.Encode.
func (r TargetRecord) Encode(writeID string) []byte { return encodeRecord(r, writeID) }

func encodeRecord[R transferRecord](record R, writeID string) []byte {
	return protocol.Encode(storedRecord[R]{Format: recordFormat, WriteID: writeID, Record: record})
}

// ParseOrigin reads an origin's record. Its error wraps ErrUnreadableRecord.
func ParseOrigin(item protocol.Item) (OriginRecord, error) {
	return decodeRecord[OriginRecord](item)
}

// DecodeTargetRecord reads a target's record. Its error wraps ErrUnreadableRecord.
func DecodeTargetRecord(item protocol.Item) (TargetRecord, error) {
	return decodeRecord[TargetRecord](item)
}

func decodeRecord[R transferRecord](item protocol.Item) (R, error) {
	var stored storedRecord[R]
	if err := protocol.Decode(item.Value, &stored); err != nil {
		return stored.Record, unreadable(item, err.Error())
	}
	record := stored.Record
	if stored.Format != recordFormat {
		return record, unreadable(item, fmt.Sprintf("format %d", stored.Format))
	}
	if record.id().check() != nil || record.Key() != item.Key {
		return record, unreadable(item, "it is of another transfer")
	}
	if problem := record.invalid(); problem != "" {
		return record, unreadable(item, problem)
	}
	return record, nil
}

func (r OriginRecord) id() TransferID { return r.Transfer }

func (r TargetRecord) id() TransferID { return r.Transfer }

func (r OriginRecord) invalid() string {
	switch {
	case r.Phase == 0 || r.Phase >= originPhaseCount || r.Cause >= causeCount:
		return "unknown phase or cause"
	case r.Target == "" || r.Target == r.Transfer.Origin:
		return "no target"
	case r.MaxRestarts < 0 || r.Restarts < 0 || r.Run < 0 || r.Work < 0:
		return "amounts below 0"
	}
	return ""
}

func (r TargetRecord) invalid() string {
	switch {
	case r.Phase == 0 || r.Phase >= targetPhaseCount:
		return "unknown phase"
	case r.Run < 0 || r.Work < 0:
		return "amounts below 0"
	}
	return ""
}

func unreadable(item protocol.Item, why string) error {
	return fmt.Errorf("%w: %s: %s", ErrUnreadableRecord, item.Key, why)
}
