package coordination

import (
	"context"
	"fmt"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

func (t *Term) readFinal(ctx context.Context, id string) (storage.FinalRecord, bool, error) {
	return ReadFinal(ctx, t.Store, id)
}

// finalCall bounds the read of a final record. A user waits for it, for 2 s in all.
const finalCall = 1200 * units.Millisecond

// ReadFinal reads a finished job's record.
func ReadFinal(ctx context.Context, store *kv.Store, id string) (storage.FinalRecord, bool, error) {
	var f storage.FinalRecord
	item, ok, err := store.Get(ctx, storage.KeyFinal(id), finalCall)
	if err != nil || !ok {
		return f, false, err
	}
	if err := protocol.Decode(item.Value, &f.Final); err != nil || !f.Stage.Final() {
		return f, false, fmt.Errorf("record %s is not readable: %w", item.Key, err)
	}
	f.Version = item.Version
	return f, true, nil
}

// finalCache keeps the final states of the jobs asked about last, with a
// bound on their number.
type finalCache struct {
	most     int
	old, new map[string]storage.FinalRecord
}

func newFinalCache(most int) *finalCache {
	return &finalCache{most: most, old: map[string]storage.FinalRecord{}, new: map[string]storage.FinalRecord{}}
}

func (c *finalCache) put(id string, f storage.FinalRecord) {
	if len(c.new) >= c.most/2 {
		c.old, c.new = c.new, map[string]storage.FinalRecord{}
	}
	c.new[id] = f
}

func (c *finalCache) get(id string) (storage.FinalRecord, bool) {
	if f, ok := c.new[id]; ok {
		return f, true
	}
	f, ok := c.old[id]
	if ok {
		c.put(id, f)
	}
	return f, ok
}

// final finds the final state of a job that is not live.
func (t *Term) final(ctx context.Context, id string) (storage.FinalRecord, bool, error) {
	t.mu.Lock()
	f, ok := t.finals.get(id)
	t.mu.Unlock()
	if ok {
		return f, true, nil
	}
	if !t.Store.Spare() {
		return f, false, kv.ErrRefused // questions about unknown jobs must not crowd out the rest
	}
	f, ok, err := t.readFinal(ctx, id)
	if ok {
		t.mu.Lock()
		t.finals.put(id, f)
		t.mu.Unlock()
	}
	return f, ok, err
}
