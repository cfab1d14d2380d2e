package election

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

const (
	// leaseCallTimeout is the timeout of one request for the lease record. It leaves time for
	// retries within the shortest lease.
	leaseCallTimeout = 900 * units.Millisecond
	leaseRetryDelay  = 150 * units.Millisecond
)

// readRecord returns the lease record and its version, which is 0 if there is no record. It
// fails with a *storage.RecordError if the record cannot be decoded.
func (e *Elector) readRecord(ctx context.Context) (storage.LeaseRecord, uint64, error) {
	var record storage.LeaseRecord
	item, ok, err := e.client.Get(ctx, storage.KeyLeaderLease, leaseCallTimeout)
	if err != nil || !ok {
		return record, 0, err
	}
	if err := protocol.Decode(item.Value, &record); err != nil {
		return record, 0, &storage.RecordError{Key: storage.KeyLeaderLease, Err: err}
	}
	return record, item.Version, nil
}

// compareAndSwap writes the lease record if its stored version is still version. If that fails
// with a version conflict or an unknown outcome, it reads the record back. It returns the
// current version, and whether the current record is the one that this call wrote.
func (e *Elector) compareAndSwap(ctx context.Context, record storage.LeaseRecord, version uint64) (newVersion uint64, ours bool, err error) {
	newVersion, err = e.client.CompareAndSwap(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.KeyLeaderLease, Version: version}},
		Then: []protocol.Change{{Set: storage.KeyLeaderLease, Value: protocol.Encode(record)}},
	}, kv.Urgent, leaseCallTimeout)
	var conflict *kv.VersionConflictError
	switch {
	case err == nil:
		return newVersion, true, nil
	case errors.As(err, &conflict), errors.Is(err, kv.ErrOutcomeUnknown):
		// Either another controller wrote the record first, or a write of this controller that
		// was not answered was carried out. The record's write ID tells which.
		current, currentVersion, err := e.readRecord(ctx)
		if err != nil {
			return 0, false, err
		}
		return currentVersion, current.WriteID == record.WriteID, nil
	}
	return 0, false, err
}

// nextWriteID returns a new ID for a write of the record. The caller must hold e.mu.
func (e *Elector) nextWriteID() string {
	e.writes++
	return fmt.Sprintf("%s-%d", e.nonce, e.writes)
}

// isOwnWrite reports whether a write ID was issued by this process.
func (e *Elector) isOwnWrite(id string) bool {
	return len(id) > len(e.nonce) && strings.HasPrefix(id, e.nonce)
}
