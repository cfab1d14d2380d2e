package federation

import (
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/protocol"
)

// Prefixes of the keys of transfer records in the key-value store.
const (
	// OutgoingPrefix is followed by a job's id: a transfer of a job of this cell.
	OutgoingPrefix = "transfer/out/"
	// IncomingPrefix is followed by origin, job and incarnation: a transfer of another
	// cell's job.
	IncomingPrefix = "transfer/in/"
)

// recordFormat is the format of both records that this version reads and writes.
const recordFormat = 1

// ErrUnreadableRecord reports that a record of a transfer cannot be read. Its job is not
// restored, and the record is not replaced.
var ErrUnreadableRecord = errors.New("unreadable record of a transfer")

// RecordError is an unreadable record. It wraps ErrUnreadableRecord and the reason.
type RecordError struct {
	Key    string
	Reason error
}

// Error returns what is wrong with the record of which key.
func (e *RecordError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrUnreadableRecord, e.Key, e.Reason)
}

// Unwrap returns ErrUnreadableRecord and the reason.
func (e *RecordError) Unwrap() []error { return []error{ErrUnreadableRecord, e.Reason} }

// The reasons for which a record that can be decoded is not one of this version's.
var (
	errOtherTransfer  = errors.New("it is of another transfer")
	errUnknownPhase   = errors.New("unknown phase")
	errUnknownState   = errors.New("unknown phase or cause")
	errNoTarget       = errors.New("no target")
	errNegativeAmount = errors.New("amounts below 0")
)

// Key returns the key of the origin's record. A job has one transfer at a time.
func (r OriginRecord) Key() string { return outgoingKey(r.Transfer.Job) }

// Key returns the key of the target's record.
func (r TargetRecord) Key() string { return incomingKey(r.Transfer) }

func outgoingKey(job string) string { return OutgoingPrefix + job }

func incomingKey(id TransferID) string {
	return fmt.Sprintf("%s%s/%s/%d", IncomingPrefix, id.Origin, id.Job, id.Incarnation)
}

// JobFromKey returns the job of an origin's record by the record's key, and whether it is
// the key of such a record.
func JobFromKey(key string) (string, bool) { return strings.CutPrefix(key, OutgoingPrefix) }

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

// DecodeOriginRecord reads an origin's record. Its error is a *RecordError.
func DecodeOriginRecord(item protocol.Item) (OriginRecord, error) {
	return decodeRecord[OriginRecord](item)
}

// DecodeTargetRecord reads a target's record. Its error is a *RecordError.
func DecodeTargetRecord(item protocol.Item) (TargetRecord, error) {
	return decodeRecord[TargetRecord](item)
}

func decodeRecord[R transferRecord](item protocol.Item) (R, error) {
	var stored storedRecord[R]
	err := protocol.Decode(item.Value, &stored)
	if err == nil {
		err = stored.check(item.Key)
	}
	if err != nil {
		err = &RecordError{Key: item.Key, Reason: err}
	}
	return stored.Record, err
}

// check returns why a record under a key is not one that this version stores there, nil if
// it is.
func (s *storedRecord[R]) check(key string) error {
	if s.Format != recordFormat {
		return fmt.Errorf("format %d", s.Format)
	}
	if s.Record.id().check() != nil || s.Record.Key() != key {
		return errOtherTransfer
	}
	return s.Record.check()
}

func (r OriginRecord) id() TransferID { return r.Transfer }

func (r TargetRecord) id() TransferID { return r.Transfer }

func (r OriginRecord) check() error {
	switch {
	case r.Phase == 0 || r.Phase >= originPhaseCount || r.Cause >= causeCount:
		return errUnknownState
	case r.Target == "" || r.Target == r.Transfer.Origin:
		return errNoTarget
	case r.MaxRestarts < 0 || r.Restarts < 0 || r.Run < 0 || r.Work < 0:
		return errNegativeAmount
	}
	return nil
}

func (r TargetRecord) check() error {
	switch {
	case r.Phase == 0 || r.Phase >= targetPhaseCount:
		return errUnknownPhase
	case r.Run < 0 || r.Work < 0:
		return errNegativeAmount
	}
	return nil
}
