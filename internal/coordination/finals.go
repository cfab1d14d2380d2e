package coordination

import (
	"context"
	"fmt"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

func (t *Term) readFinal(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	return ReadFinal(ctx, t.Store, id)
}

// finalCall bounds the read of a final record. A user waits for it, for 2 s in all.
const finalCall = 1200 * units.Millisecond

// ReadFinal reads a finished job's record.
func ReadFinal(ctx context.Context, store *kv.Client, id string) (storage.StoredTerminalRecord, bool, error) {
	var f storage.StoredTerminalRecord
	item, ok, err := store.Get(ctx, storage.KeyTerminal(id), finalCall)
	if err != nil || !ok {
		return f, false, err
	}
	if err := protocol.Decode(item.Value, &f.TerminalRecord); err != nil || !f.Stage.IsTerminal() {
		return f, false, fmt.Errorf("record %s is not readable: %w", item.Key, err)
	}
	f.Version = item.Version
	return f, true, nil
}

// finalCache keeps the final states of the jobs asked about last, with a
// bound on their number.
type finalCache struct {
	most     int
	old, new map[string]storage.StoredTerminalRecord
}

func newFinalCache(most int) *finalCache {
	return &finalCache{most: most, old: map[string]storage.StoredTerminalRecord{}, new: map[string]storage.StoredTerminalRecord{}}
}

func (c *finalCache) put(id string, f storage.StoredTerminalRecord) {
	if len(c.new) >= c.most/2 {
		c.old, c.new = c.new, map[string]storage.StoredTerminalRecord{}
	}
	c.new[id] = f
}

func (c *finalCache) get(id string) (storage.StoredTerminalRecord, bool) {
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
func (t *Term) final(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	t.mu.Lock()
	f, ok := t.finals.get(id)
	t.mu.Unlock()
	if ok {
		return f, true, nil
	}
	if !t.Store.HasRequestBudget() {
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
