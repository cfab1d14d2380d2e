package persister

import (
	"context"
	"errors"
	"fmt"

	"dunestand/internal/federation"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// TransferStore stores transfer records in the key-value store. Every write is conditional on the
// version of the record and on that of a bucket's head, so that writes of a former leader fail. It
// implements federation.Store, and may be used concurrently.
type TransferStore struct {
	client        *kv.Client
	bucketVersion func(bucket int) uint64
}

// NewTransferStore returns the transfer store of a leader. bucketVersion returns the version that a
// bucket's head had when the leader claimed it; it must be safe for concurrent use.
func NewTransferStore(client *kv.Client, bucketVersion func(bucket int) uint64) *TransferStore {
	return &TransferStore{client: client, bucketVersion: bucketVersion}
}

// transferRetryDelay is the delay before a write whose outcome is unknown is sent again, or a failed
// read of its outcome is retried.
const transferRetryDelay = 200 * units.Millisecond

// List implements federation.Store.
func (s *TransferStore) List(ctx context.Context, prefix string) ([]protocol.Item, error) {
	items, _, err := s.client.ListAll(ctx, prefix)
	return items, err
}

// CompareAndSwap implements federation.Store. A write without a response may be carried out at any
// later time, so the same write is sent until its outcome is known: its conditions ensure that it is
// carried out at most once.
func (s *TransferStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	txn := s.newTxn(key, value, version)
	outcomeUnknown := false
	for {
		revision, err := s.client.CompareAndSwap(ctx, txn, kv.Paced, kv.CallTimeout)
		var conflict *kv.VersionConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if outcomeUnknown {
				return s.resolveConflict(ctx, key, value)
			}
			return 0, fmt.Errorf("%w: %v", federation.ErrVersionConflict, conflict.Keys)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			outcomeUnknown = true
		case !outcomeUnknown:
			return 0, err // certainly not carried out
		}
		if !loop.Sleep(ctx, transferRetryDelay) {
			return 0, errOutcomeUndetermined
		}
	}
}

// errOutcomeUndetermined means that ctx ended before the outcome of a write was known. It wraps
// ErrVersionConflict because the caller must read the record again, as after a conflict.
var errOutcomeUndetermined = fmt.Errorf("%w: outcome of the write unknown", federation.ErrVersionConflict)

// newTxn returns the transaction that writes a value, or deletes the key if the value is nil.
func (s *TransferStore) newTxn(key string, value []byte, version uint64) protocol.Txn {
	bucket := storage.BucketOf(key)
	change := protocol.Change{Set: key, Value: value}
	if value == nil {
		change = protocol.Change{Delete: key}
	}
	return protocol.Txn{
		If: []protocol.Condition{
			{Key: key, Version: version},
			{Key: storage.KeyBucketHead(bucket), Version: s.bucketVersion(bucket)},
		},
		Then: []protocol.Change{change},
	}
}

// resolveConflict determines whether a write was carried out by a request without a response, after
// a repetition of the write met a version conflict. If so, it returns the version of the record;
// otherwise it fails with federation.ErrVersionConflict.
func (s *TransferStore) resolveConflict(ctx context.Context, key string, value []byte) (uint64, error) {
	for {
		item, found, err := s.client.Get(ctx, key, kv.CallTimeout)
		if err == nil {
			if matchesWrite(item, found, value) {
				return item.Version, nil
			}
			return 0, fmt.Errorf("%w: %s", federation.ErrVersionConflict, key)
		}
		if !loop.Sleep(ctx, transferRetryDelay) {
			return 0, errOutcomeUndetermined
		}
	}
}

// matchesWrite reports whether an item is the result of writing value, or of deleting the key if
// value is nil. found says whether the item exists.
func matchesWrite(item protocol.Item, found bool, value []byte) bool {
	if value == nil || !found {
		return value == nil && !found
	}
	storedID, err := writeIDOf(item.Value)
	if err != nil {
		return false
	}
	ownID, err := writeIDOf(value)
	return err == nil && ownID == storedID
}

// writeIDOf returns the ID of the write that stored a record.
func writeIDOf(value []byte) (string, error) {
	var record struct {
		WriteID string `cbor:"save"`
	}
	err := protocol.Decode(value, &record)
	return record.WriteID, err
}
