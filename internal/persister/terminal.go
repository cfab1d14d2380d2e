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
	state  *cluster.State
	client *kv.Client

	cache *terminalCache // guarded by the lock of state
}

func NewTerminalJobs(state *cluster.State, client *kv.Client) *TerminalJobs {
	return &TerminalJobs{state: state, client: client, cache: newTerminalCache(terminalCacheSize)}
}

func (tj *TerminalJobs) read(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	return ReadTerminal(ctx, tj.client, id)
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
	maxEntries       int
	previous, recent map[string]storage.StoredTerminalRecord
}

func newTerminalCache(most int) *terminalCache {
	return &terminalCache{maxEntries: most, previous: map[string]storage.StoredTerminalRecord{}, recent: map[string]storage.StoredTerminalRecord{}}
}

func (c *terminalCache) put(id string, f storage.StoredTerminalRecord) {
	if len(c.recent) >= c.maxEntries/2 {
		c.previous, c.recent = c.recent, map[string]storage.StoredTerminalRecord{}
	}
	c.recent[id] = f
}

func (c *terminalCache) get(id string) (storage.StoredTerminalRecord, bool) {
	if f, ok := c.recent[id]; ok {
		return f, true
	}
	f, ok := c.previous[id]
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
	if !tj.client.HasRequestBudget() {
		return f, false, kv.ErrRefused // questions about unknown jobs must not crowd out the rest
	}
	f, ok, err := tj.read(ctx, id)
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
