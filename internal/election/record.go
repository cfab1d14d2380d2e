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
	// leaseCallTimeout bounds one request for the lease record. It is below the shortest
	// lease by enough for further tries.
	leaseCallTimeout = 900 * units.Millisecond
	leaseRetryDelay  = 150 * units.Millisecond
)

// readRecord reads the lease record and its version, which is 0 if there is none.
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

// compareAndSwap writes the lease record if its version is still the given one. Where the
// outcome is not certain it reads the record. It returns the version that now stands, and
// whether the record is the one written.
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
		// Either another controller was faster, or an earlier write of this one that got no
		// answer was carried out after all. The record tells which.
		current, currentVersion, err := e.readRecord(ctx)
		if err != nil {
			return 0, false, err
		}
		return currentVersion, current.WriteID == record.WriteID, nil
	}
	return 0, false, err
}

// nextWriteID returns a new id for a write of the record. It needs the lock held.
func (e *Elector) nextWriteID() string {
	e.writes++
	return fmt.Sprintf("%s-%d", e.nonce, e.writes)
}

// isOwnWrite reports whether a write id is one of this process.
func (e *Elector) isOwnWrite(id string) bool {
	return len(id) > len(e.nonce) && strings.HasPrefix(id, e.nonce)
}
