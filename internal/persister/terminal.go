package persister

import (
	"context"
	"fmt"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// terminalCacheSize bounds the terminal states that are remembered.
const terminalCacheSize = 4096

// TerminalJobs finds the terminal states of jobs: those asked about last in memory, the
// others in the key-value store.
type TerminalJobs struct {
	state *cluster.State
	kv    *kv.Client

	cache *terminalCache // guarded by the lock of state
}

func NewTerminalJobs(state *cluster.State, client *kv.Client) *TerminalJobs {
	return &TerminalJobs{state: state, kv: client, cache: newTerminalCache(terminalCacheSize)}
}

func (tj *TerminalJobs) readTerminal(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	return ReadTerminal(ctx, tj.kv, id)
}

// terminalReadTimeout bounds the read of a final record. A user waits for it, for 2 s in all.
const terminalReadTimeout = 1200 * units.Millisecond

// ReadTerminal reads a finished job's record.
func ReadTerminal(ctx context.Context, store *kv.Client, id string) (storage.StoredTerminalRecord, bool, error) {
	var f storage.StoredTerminalRecord
	item, ok, err := store.Get(ctx, storage.KeyTerminal(id), terminalReadTimeout)
	if err != nil || !ok {
		return f, false, err
	}
	if err := protocol.Decode(item.Value, &f.TerminalRecord); err != nil || !f.Stage.IsTerminal() {
		return f, false, fmt.Errorf("record %s is not readable: %w", item.Key, err)
	}
	f.Version = item.Version
	return f, true, nil
}

// terminalCache keeps the final states of the jobs asked about last, with a
// bound on their number.
type terminalCache struct {
	maxEntries   int
	older, newer map[string]storage.StoredTerminalRecord
}

func newTerminalCache(most int) *terminalCache {
	return &terminalCache{maxEntries: most, older: map[string]storage.StoredTerminalRecord{}, newer: map[string]storage.StoredTerminalRecord{}}
}

func (c *terminalCache) put(id string, f storage.StoredTerminalRecord) {
	if len(c.newer) >= c.maxEntries/2 {
		c.older, c.newer = c.newer, map[string]storage.StoredTerminalRecord{}
	}
	c.newer[id] = f
}

func (c *terminalCache) get(id string) (storage.StoredTerminalRecord, bool) {
	if f, ok := c.newer[id]; ok {
		return f, true
	}
	f, ok := c.older[id]
	if ok {
		c.put(id, f)
	}
	return f, ok
}

// TerminalJob finds the final state of a job that is not live.
func (tj *TerminalJobs) TerminalJob(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	tj.state.Lock()
	f, ok := tj.cache.get(id)
	tj.state.Unlock()
	if ok {
		return f, true, nil
	}
	if !tj.kv.HasRequestBudget() {
		return f, false, kv.ErrRefused // questions about unknown jobs must not crowd out the rest
	}
	f, ok, err := tj.readTerminal(ctx, id)
	if ok {
		tj.state.Lock()
		tj.cache.put(id, f)
		tj.state.Unlock()
	}
	return f, ok, err
}

// Cached returns the terminal state of a job if it is remembered. It needs the lock of the
// state held.
func (tj *TerminalJobs) Cached(id string) (storage.StoredTerminalRecord, bool) {
	return tj.cache.get(id)
}

// Remember keeps the terminal state of a job. It needs the lock of the state held.
func (tj *TerminalJobs) Remember(id string, record storage.StoredTerminalRecord) {
	tj.cache.put(id, record)
}
