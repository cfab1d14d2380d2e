package persister

import (
	"context"
	"errors"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// pendingResyncInterval is how often the whole queue is read again, whatever its changes were.
const pendingResyncInterval = 30 * units.Second

// pendingWatcher follows the queue of pending submissions. Hundreds of jobs may be in it for
// half a minute after a burst, and to read them all each second took much of a leader's processor
// just then: so the whole queue is read once in a while, and its changes in between. Only one
// goroutine may use it.
type pendingWatcher struct {
	revision    uint64 // up to which the queue is known, 0: it has to be read whole
	lastReadAll units.Micros
}

// next returns what is new in the queue; after a read of the whole, all that is in it.
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
	return livingItems(list.Changes), nil
}

// readAll reads the whole queue.
func (w *pendingWatcher) readAll(ctx context.Context, in *Ingester, now units.Micros) ([]protocol.Item, error) {
	w.revision = 0
	items, revision, err := in.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return nil, err
	}
	w.revision, w.lastReadAll = revision, now
	return items, nil
}

// livingItems returns the records that were set and not deleted since.
func livingItems(changes []protocol.KeyChange) []protocol.Item {
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
