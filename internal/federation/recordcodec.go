package federation

import (
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/protocol"
)

// Prefixes of the keys of transfer records in the key-value store.
const (
	// OutgoingPrefix is the prefix for transfers of this cell's jobs. The job ID follows.
	OutgoingPrefix = "transfer/out/"
	// IncomingPrefix is the prefix for transfers of other cells' jobs. Origin, job ID and
	// incarnation follow.
	IncomingPrefix = "transfer/in/"
)

// recordFormat is the format version of both record types.
const recordFormat = 1

// ErrUnreadableRecord reports a transfer record that cannot be decoded. The transfer is not
// restored, and the record must not be overwritten.
var ErrUnreadableRecord = errors.New("unreadable transfer record")

// RecordError reports a record that cannot be decoded. It wraps ErrUnreadableRecord and the
// reason.
type RecordError struct {
	Key    string
	Reason error
}

// Error returns the key of the record and the reason.
func (e *RecordError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrUnreadableRecord, e.Key, e.Reason)
}

// Unwrap returns ErrUnreadableRecord and the reason.
func (e *RecordError) Unwrap() []error { return []error{ErrUnreadableRecord, e.Reason} }

// Reasons for which a well-formed record is rejected.
var (
	errOtherTransfer  = errors.New("record does not belong to its key")
	errUnknownPhase   = errors.New("unknown phase")
	errUnknownState   = errors.New("unknown phase or cause")
	errNoTarget       = errors.New("target is missing or equal to the origin")
	errNegativeAmount = errors.New("negative count or amount of work")
)

// Key returns the key of the origin's record. The key does not contain the incarnation, since a
// job has at most one transfer at a time.
func (r OriginRecord) Key() string { return outgoingKey(r.Transfer.Job) }

// Key returns the key of the target's record.
func (r TargetRecord) Key() string { return incomingKey(r.Transfer) }

func outgoingKey(job string) string { return OutgoingPrefix + job }

func incomingKey(id TransferID) string {
	return fmt.Sprintf("%s%s/%s/%d", IncomingPrefix, id.Origin, id.Job, id.Incarnation)
}

// JobFromKey returns the job ID from the key of an origin's record, and whether key is the key
// of such a record.
func JobFromKey(key string) (string, bool) { return strings.CutPrefix(key, OutgoingPrefix) }

// storedRecord is the stored form of both record types.
type storedRecord[R transferRecord] struct {
	Format  int    `cbor:"v"`
	WriteID string `cbor:"save"`
	Record  R      `cbor:"record"`
}

// Encode returns the stored form of the record. writeID identifies the write, so that its author
// can determine whether a write with an unknown outcome has succeeded.
func (r OriginRecord) Encode(writeID string) []byte { return encodeRecord(r, writeID) }

// Encode returns the stored form of the record. writeID identifies the write, as in
// OriginRecord.Encode.
func (r TargetRecord) Encode(writeID string) []byte { return encodeRecord(r, writeID) }

func encodeRecord[R transferRecord](record R, writeID string) []byte {
	return protocol.Encode(storedRecord[R]{Format: recordFormat, WriteID: writeID, Record: record})
}

// DecodeOriginRecord decodes an origin's record. The error is a *RecordError.
func DecodeOriginRecord(item protocol.Item) (OriginRecord, error) {
	return decodeRecord[OriginRecord](item)
}

// DecodeTargetRecord decodes a target's record. The error is a *RecordError.
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

// check returns an error if the record has an unsupported format, does not belong to the key,
// or has a field value that this software version never stores.
func (s *storedRecord[R]) check(key string) error {
	if s.Format != recordFormat {
		return fmt.Errorf("unsupported format %d", s.Format)
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
