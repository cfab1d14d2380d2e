package persister

import (
	"context"
	"errors"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// pendingResyncInterval is how often the whole inbox is read again, whatever the changes told.
const pendingResyncInterval = 30 * units.Second

// pendingWatcher follows the inbox. Hundreds of jobs may be in it for half a minute after a
// burst, and to read them all each second took much of a leader's processor just then: so
// the whole is read once in a while, and the changes since in between.
type pendingWatcher struct {
	revision uint64 // up to which the inbox is known, 0: it has to be read whole
	readAt   units.Micros
}

// next gives what is new in the inbox.
func (w *pendingWatcher) next(ctx context.Context, in *Ingester) ([]protocol.Item, error) {
	now := in.Clock.Steady()
	if w.revision == 0 || now-w.readAt >= pendingResyncInterval || in.pendingUncleared.Swap(false) {
		return w.read(ctx, in, now)
	}
	list, err := in.KV.Watch(ctx, storage.PrefixPending, w.revision, 0)
	if errors.Is(err, kv.ErrCompacted) {
		return w.read(ctx, in, now)
	}
	if err != nil {
		return nil, err
	}
	w.revision = max(w.revision, list.Revision)
	return remainingItems(list.Changes), nil
}

// read reads the whole inbox.
func (w *pendingWatcher) read(ctx context.Context, in *Ingester, now units.Micros) ([]protocol.Item, error) {
	w.revision = 0
	items, revision, err := in.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return nil, err
	}
	w.revision, w.readAt = revision, now
	return items, nil
}

// remainingItems gives the records that were put and not deleted since.
func remainingItems(changes []protocol.KeyChange) []protocol.Item {
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
