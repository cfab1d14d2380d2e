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
	PrefixOut = "transfer/out/"
	PrefixIn  = "transfer/in/"
)

// recordFormat is the format of both records that this version reads and writes.
const recordFormat = 1

// ErrUnreadable says that a record of a transfer cannot be read. Its job is not restored,
// and the record is not replaced.
var ErrUnreadable = errors.New("unreadable record of a transfer")

// Key gives the key of the origin's record. A job has one transfer at a time.
func (r *OriginRecord) Key() string { return PrefixOut + r.Transfer.Job }

// Key gives the key of the target's record.
func (r *TargetRecord) Key() string { return keyIn(r.Transfer) }

func keyIn(id TransferID) string {
	return fmt.Sprintf("%s%s/%s/%d", PrefixIn, id.Origin, id.Job, id.Incarnation)
}

// stored is what both records have around them.
type stored[R any] struct {
	Format int    `cbor:"v"`
	Save   string `cbor:"save"`
	Record R      `cbor:"record"`
}

// Encode gives the value that is stored. save identifies the save, for its author to find
// out whether one without an answer was carried out.
func (r *OriginRecord) Encode(save string) []byte {
	return protocol.Encode(stored[OriginRecord]{Format: recordFormat, Save: save, Record: *r})
}

// Encode gives the value that is stored.
func (r *TargetRecord) Encode(save string) []byte {
	return protocol.Encode(stored[TargetRecord]{Format: recordFormat, Save: save, Record: *r})
}

// ParseOrigin reads an origin's record.
func ParseOrigin(item protocol.Item) (*OriginRecord, error) {
	r, err := parse[OriginRecord](item)
	if err != nil {
		return nil, err
	}
	switch {
	case r.Transfer.check() != nil, r.Key() != item.Key:
		return nil, unreadable(item, "it is of another transfer")
	case r.Phase == 0 || r.Phase >= originPhases || r.Cause > Cancelled:
		return nil, unreadable(item, "unknown phase or cause")
	case r.Target == "" || r.Target == r.Transfer.Origin:
		return nil, unreadable(item, "no target")
	case r.Allowance < 0 || r.Reruns < 0 || r.Run < 0 || r.Work < 0:
		return nil, unreadable(item, "amounts below 0")
	}
	return r, nil
}

// ParseTarget reads a target's record.
func ParseTarget(item protocol.Item) (*TargetRecord, error) {
	r, err := parse[TargetRecord](item)
	if err != nil {
		return nil, err
	}
	switch {
	case r.Transfer.check() != nil, r.Key() != item.Key:
		return nil, unreadable(item, "it is of another transfer")
	case r.Phase == 0 || r.Phase >= targetPhases:
		return nil, unreadable(item, "unknown phase")
	case r.Run < 0 || r.Work < 0:
		return nil, unreadable(item, "amounts below 0")
	}
	return r, nil
}

func parse[R any](item protocol.Item) (*R, error) {
	var s stored[R]
	if err := protocol.Decode(item.Value, &s); err != nil {
		return nil, unreadable(item, err.Error())
	}
	if s.Format != recordFormat {
		return nil, unreadable(item, fmt.Sprintf("format %d", s.Format))
	}
	return &s.Record, nil
}

func unreadable(item protocol.Item, why string) error {
	return fmt.Errorf("%w: %s: %s", ErrUnreadable, item.Key, why)
}

// JobOf gives the job whose transfer the origin's record under a key is of.
func JobOf(key string) (string, bool) { return strings.CutPrefix(key, PrefixOut) }
