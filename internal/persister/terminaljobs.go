package persister

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// terminalReadTimeout bounds the read of a terminal record. A user waits for it, for 2 s in all.
const terminalReadTimeout = 1200 * units.Millisecond

// TerminalJobs finds the terminal records of jobs: those asked about last in memory, the others
// in the key-value store.
type TerminalJobs struct {
	state  *cluster.State
	client *kv.Client

	cache *terminalCache // guarded by the lock of the state
}

// NewTerminalJobs returns the terminal jobs of a leader, none of them in memory.
func NewTerminalJobs(state *cluster.State, client *kv.Client) *TerminalJobs {
	return &TerminalJobs{state: state, client: client, cache: newTerminalCache(terminalCacheSize)}
}

// Lookup returns the terminal record of a job, and whether there is one. It fails with
// kv.ErrRefused where the request budget is short, and otherwise as ReadTerminal does. It must
// be called without the lock of the state.
func (tj *TerminalJobs) Lookup(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	tj.state.Lock()
	record, ok := tj.cache.get(id)
	tj.state.Unlock()
	if ok {
		return record, true, nil
	}
	if !tj.client.HasRequestBudget() {
		return record, false, kv.ErrRefused // questions about unknown jobs must not crowd out the rest
	}
	record, ok, err := tj.read(ctx, id)
	if ok {
		tj.state.Lock()
		tj.cache.put(id, record)
		tj.state.Unlock()
	}
	return record, ok, err
}

// Cached returns the terminal record of a job if it is in memory. It needs the lock of the
// state held.
func (tj *TerminalJobs) Cached(id string) (storage.StoredTerminalRecord, bool) {
	return tj.cache.get(id)
}

// Remember keeps the terminal record of a job in memory. It needs the lock of the state held.
func (tj *TerminalJobs) Remember(id string, record storage.StoredTerminalRecord) {
	tj.cache.put(id, record)
}

func (tj *TerminalJobs) read(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	return ReadTerminal(ctx, tj.client, id)
}

// ReadTerminal reads the terminal record of a job, and reports whether there is one. It fails
// with a storage.RecordError, or with an error of the client.
func ReadTerminal(ctx context.Context, client *kv.Client, id string) (storage.StoredTerminalRecord, bool, error) {
	var record storage.StoredTerminalRecord
	item, ok, err := client.Get(ctx, storage.KeyTerminal(id), terminalReadTimeout)
	if err != nil || !ok {
		return record, false, err
	}
	err = protocol.Decode(item.Value, &record.TerminalRecord)
	if err == nil && !record.Stage.IsTerminal() {
		err = errNotTerminal
	}
	if err != nil {
		return record, false, &storage.RecordError{Key: item.Key, Err: err}
	}
	record.Version = item.Version
	return record, true, nil
}
