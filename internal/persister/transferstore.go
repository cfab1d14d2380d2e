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

// TransferStore keeps the records of transfers in the state service. Every save is
// conditional on the record's version and on a bucket's head, so that a former leader
// stores nothing. It implements federation.Store.
type TransferStore struct {
	store *kv.Client
	// head gives the bucket whose head fences a key, and that head's version.
	head func(key string) (bucketKey string, version uint64)
}

// NewTransferStore returns the store of a leader. BucketVersion tells the version of a
// bucket's head as the leader claimed it.
func NewTransferStore(client *kv.Client, bucketVersion func(bucket int) uint64) *TransferStore {
	return &TransferStore{
		store: client,
		head: func(key string) (string, uint64) {
			bucket := storage.BucketOf(key)
			return storage.KeyBucketHead(bucket), bucketVersion(bucket)
		},
	}
}

// transferRetryDelay is until a save whose outcome is open is looked at again.
const transferRetryDelay = 200 * units.Millisecond

// List implements federation.Store.
func (s *TransferStore) List(ctx context.Context, prefix string) ([]protocol.Item, error) {
	items, _, err := s.store.ListAll(ctx, prefix)
	return items, err
}

// CompareAndSwap implements federation.Store. A save without an answer may be carried out at any
// later time, so the very same one is sent until its outcome is known: its conditions see
// to it that it happens once.
func (s *TransferStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	txn := s.transaction(key, value, version)
	uncertain := false
	for {
		revision, err := s.store.CompareAndSwap(ctx, txn, kv.Paced, kv.CallTimeout)
		var conflict *kv.VersionConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if uncertain {
				return s.outcome(ctx, key, value)
			}
			return 0, fmt.Errorf("%w: %v", federation.ErrVersionConflict, conflict.Keys)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case !uncertain:
			return 0, err // certainly not carried out
		}
		if !loop.Sleep(ctx, transferRetryDelay) {
			// Nobody knows. Whoever goes on from here must read the record first.
			return 0, fmt.Errorf("%w: the outcome of a save is not known", federation.ErrVersionConflict)
		}
	}
}

func (s *TransferStore) transaction(key string, value []byte, version uint64) protocol.Txn {
	head, headVersion := s.head(key)
	txn := protocol.Txn{If: []protocol.Condition{
		{Key: key, Version: version},
		{Key: head, Version: headVersion},
	}}
	if value == nil {
		txn.Then = []protocol.Change{{Delete: key}}
	} else {
		txn.Then = []protocol.Change{{Set: key, Value: value}}
	}
	return txn
}

// outcome tells, of a save that met a conflict after a try without an answer, whether that
// try was carried out: the record is then as it was to be.
func (s *TransferStore) outcome(ctx context.Context, key string, value []byte) (uint64, error) {
	for {
		item, found, err := s.store.Get(ctx, key, kv.CallTimeout)
		if err == nil {
			if asWritten(item, found, value) {
				return item.Version, nil
			}
			return 0, fmt.Errorf("%w: %s", federation.ErrVersionConflict, key)
		}
		if !loop.Sleep(ctx, transferRetryDelay) {
			return 0, fmt.Errorf("%w: the outcome of a save is not known", federation.ErrVersionConflict)
		}
	}
}

// asWritten tells whether a record is as a save of a value, or of its deletion, left it.
func asWritten(item protocol.Item, found bool, value []byte) bool {
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

// writeIDOf gives the id of the save that a record was written by.
func writeIDOf(value []byte) (string, error) {
	var record struct {
		Save string `cbor:"save"`
	}
	err := protocol.Decode(value, &record)
	return record.Save, err
}
