package federation

import (
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/protocol"
)

// Keys of the records in the state service: of transfers that a cell began, and of those
// that it was asked to take.
const (
	PrefixOut      = "transfer/out/"
	IncomingPrefix = "transfer/in/"
)

// recordFormat is the format of both records that this version reads and writes.
const recordFormat = 1

// ErrUnreadableRecord says that a record of a transfer cannot be read. Its job is not restored,
// and the record is not replaced.
var ErrUnreadableRecord = errors.New("unreadable record of a transfer")

// Key gives the key of the origin's record. A job has one transfer at a time.
func (r *OriginRecord) Key() string { return PrefixOut + r.Transfer.Job }

// Key gives the key of the target's record.
func (r *TargetRecord) Key() string { return incomingKey(r.Transfer) }

func incomingKey(id TransferID) string {
	return fmt.Sprintf("%s%s/%s/%d", IncomingPrefix, id.Origin, id.Job, id.Incarnation)
}

// storedRecord is what both records have around them.
type storedRecord[R any] struct {
	Format  int    `cbor:"v"`
	WriteID string `cbor:"save"`
	Record  R      `cbor:"record"`
}

// Encode gives the value that is stored. save identifies the save, for its author to find
// out whether one without an answer was carried out.
func (r *OriginRecord) Encode(save string) []byte {
	return protocol.Encode(storedRecord[OriginRecord]{Format: recordFormat, WriteID: save, Record: *r})
}

// Encode gives the value that is stored.
func (r *TargetRecord) Encode(save string) []byte {
	return protocol.Encode(storedRecord[TargetRecord]{Format: recordFormat, WriteID: save, Record: *r})
}

// ParseOrigin reads an origin's record.
func ParseOrigin(item protocol.Item) (*OriginRecord, error) {
	r, err := decodeRecord[OriginRecord](item)
	if err != nil {
		return nil, err
	}
	switch {
	case r.Transfer.check() != nil, r.Key() != item.Key:
		return nil, unreadable(item, "it is of another transfer")
	case r.Phase == 0 || r.Phase >= originPhaseCount || r.Cause > CauseCancelled:
		return nil, unreadable(item, "unknown phase or cause")
	case r.Target == "" || r.Target == r.Transfer.Origin:
		return nil, unreadable(item, "no target")
	case r.MaxRestarts < 0 || r.Restarts < 0 || r.Run < 0 || r.Work < 0:
		return nil, unreadable(item, "amounts below 0")
	}
	return r, nil
}

// DecodeTargetRecord reads a target's record.
func DecodeTargetRecord(item protocol.Item) (*TargetRecord, error) {
	r, err := decodeRecord[TargetRecord](item)
	if err != nil {
		return nil, err
	}
	switch {
	case r.Transfer.check() != nil, r.Key() != item.Key:
		return nil, unreadable(item, "it is of another transfer")
	case r.Phase == 0 || r.Phase >= targetPhaseCount:
		return nil, unreadable(item, "unknown phase")
	case r.Run < 0 || r.Work < 0:
		return nil, unreadable(item, "amounts below 0")
	}
	return r, nil
}

func decodeRecord[R any](item protocol.Item) (*R, error) {
	var s storedRecord[R]
	if err := protocol.Decode(item.Value, &s); err != nil {
		return nil, unreadable(item, err.Error())
	}
	if s.Format != recordFormat {
		return nil, unreadable(item, fmt.Sprintf("format %d", s.Format))
	}
	return &s.Record, nil
}

func unreadable(item protocol.Item, why string) error {
	return fmt.Errorf("%w: %s: %s", ErrUnreadableRecord, item.Key, why)
}

// JobFromKey gives the job whose transfer the origin's record under a key is of.
func JobFromKey(key string) (string, bool) { return strings.CutPrefix(key, PrefixOut) }
