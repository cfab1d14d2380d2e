package persister

import (
	"context"
	"errors"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// pendingResyncInterval is the interval at which the whole queue is read, regardless of changes.
const pendingResyncInterval = 30 * units.Second

// pendingWatcher reads the pending-submission queue incrementally. After a burst the queue can
// contain hundreds of jobs for half a minute, and reading all of them each second takes much of the
// leader's CPU time. So the whole queue is read only at intervals, and just its changes in between.
// It must not be used concurrently.
type pendingWatcher struct {
	revision    uint64 // up to which the queue has been read; 0 if the whole queue must be read
	lastReadAll units.Micros
}

// next returns the submissions added to the queue since the last call, or all submissions if it
// reads the whole queue. After an error the next call returns the submissions missed by this one.
func (w *pendingWatcher) next(ctx context.Context, in *Ingester) ([]protocol.Item, error) {
	now := in.Clock.Steady()
	if w.revision == 0 || now-w.lastReadAll >= pendingResyncInterval || in.resyncNeeded.Swap(false) {
		return w.readAll(ctx, in, now)
	}
	list, err := in.KV.Watch(ctx, storage.PrefixPending, w.revision, 0)
	if errors.Is(err, kv.ErrCompacted) {
		return w.readAll(ctx, in, now)
	}
	if err != nil {
		return nil, err
	}
	w.revision = max(w.revision, list.Revision)
	return liveItems(list.Changes), nil
}

// readAll returns all submissions in the queue.
func (w *pendingWatcher) readAll(ctx context.Context, in *Ingester, now units.Micros) ([]protocol.Item, error) {
	w.revision = 0
	items, revision, err := in.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return nil, err
	}
	w.revision, w.lastReadAll = revision, now
	return items, nil
}

// liveItems returns the items that were set and not deleted by a later change.
func liveItems(changes []protocol.KeyChange) []protocol.Item {
	deletedAt := map[string]uint64{}
	for _, change := range changes {
		if change.Delete != "" {
			deletedAt[change.Delete] = change.Version
		}
	}
	var items []protocol.Item
	for _, change := range changes {
		if change.Set != "" && change.Version > deletedAt[change.Set] {
			items = append(items, protocol.Item{Key: change.Set, Value: change.Value, Version: change.Version})
		}
	}
	return items
}
