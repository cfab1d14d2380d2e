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

// TransferStore keeps the records of transfers in the key-value store. Every write is
// conditional on the record's version and on a bucket's head, so that a former leader writes
// nothing. It implements federation.Store, and may be used concurrently.
type TransferStore struct {
	client        *kv.Client
	bucketVersion func(bucket int) uint64
}

// NewTransferStore returns the store of a leader. bucketVersion returns the version of a
// bucket's head as the leader claimed it; it must be safe for concurrent use.
func NewTransferStore(client *kv.Client, bucketVersion func(bucket int) uint64) *TransferStore {
	return &TransferStore{client: client, bucketVersion: bucketVersion}
}

// transferRetryDelay is until a write whose outcome is not known is looked at again.
const transferRetryDelay = 200 * units.Millisecond

// List implements federation.Store.
func (s *TransferStore) List(ctx context.Context, prefix string) ([]protocol.Item, error) {
	items, _, err := s.client.ListAll(ctx, prefix)
	return items, err
}

// CompareAndSwap implements federation.Store. A write without an answer may be carried out at any later
// time, so the very same one is sent until its outcome is known: its conditions ensure that it
// happens once.
func (s *TransferStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	txn := s.newTxn(key, value, version)
	uncertain := false
	for {
		revision, err := s.client.CompareAndSwap(ctx, txn, kv.Paced, kv.CallTimeout)
		var conflict *kv.VersionConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if uncertain {
				return s.resolveConflict(ctx, key, value)
			}
			return 0, fmt.Errorf("%w: %v", federation.ErrVersionConflict, conflict.Keys)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case !uncertain:
			return 0, err // certainly not carried out
		}
		if !loop.Sleep(ctx, transferRetryDelay) {
			return 0, errOutcomeNotFound
		}
	}
}

// errOutcomeNotFound says that ctx ended before the outcome of a write was known. Whoever goes on
// from there must read the record first, as after a conflict.
var errOutcomeNotFound = fmt.Errorf("%w: the outcome of a write is not known", federation.ErrVersionConflict)

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

// resolveConflict finds out, of a write that met a conflict after a try without an answer,
// whether that try was carried out: the record is then as it was to be.
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
			return 0, errOutcomeNotFound
		}
	}
}

// matchesWrite reports whether a record is as a write of a value, or its deletion, left it.
func matchesWrite(item protocol.Item, found bool, value []byte) bool {
	if value == nil || !found {
		return value == nil && !found
	}
	theirs, err := writeIDOf(item.Value)
	if err != nil {
		return false
	}
	ours, err := writeIDOf(value)
	return err == nil && ours == theirs
}

// writeIDOf returns the id of the write that a record is from.
func writeIDOf(value []byte) (string, error) {
	var record struct {
		WriteID string `cbor:"save"`
	}
	err := protocol.Decode(value, &record)
	return record.WriteID, err
}
