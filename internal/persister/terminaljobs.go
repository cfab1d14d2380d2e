package persister

import (
	"context"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// terminalReadTimeout is the timeout of the read of a terminal record. It leaves time for the
// answer to the waiting user, whose request has a timeout of 2 s.
const terminalReadTimeout = 1200 * units.Millisecond

// TerminalJobs provides the terminal records of finished jobs. It caches recently used records and
// reads the others from the key-value store. Its methods may be called concurrently, as far as they
// do not require the state lock.
type TerminalJobs struct {
	state  *cluster.State
	client *kv.Client

	cache *terminalCache // guarded by the state lock
}

// NewTerminalJobs returns the terminal jobs of a new leader, with an empty cache. state provides the
// lock.
func NewTerminalJobs(state *cluster.State, client *kv.Client) *TerminalJobs {
	return &TerminalJobs{state: state, client: client, cache: newTerminalCache(terminalCacheSize)}
}

// Lookup returns the terminal record of a job, and whether there is one. If the record is not
// cached, it fails with kv.ErrRefused if the request budget is exhausted, and with the errors of
// ReadTerminal. It must be called without the state lock.
func (tj *TerminalJobs) Lookup(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	tj.state.Lock()
	record, ok := tj.cache.get(id)
	tj.state.Unlock()
	if ok {
		return record, true, nil
	}
	if !tj.client.HasRequestBudget() {
		return record, false, kv.ErrRefused // queries for unknown jobs must not starve other requests
	}
	record, ok, err := tj.read(ctx, id)
	if ok {
		tj.state.Lock()
		tj.cache.put(id, record)
		tj.state.Unlock()
	}
	return record, ok, err
}

// Cached returns the terminal record of a job, and whether it is in the cache. The caller must hold
// the state lock.
func (tj *TerminalJobs) Cached(id string) (storage.StoredTerminalRecord, bool) {
	return tj.cache.get(id)
}

// Remember adds the terminal record of a job to the cache. The caller must hold the state lock.
func (tj *TerminalJobs) Remember(id string, record storage.StoredTerminalRecord) {
	tj.cache.put(id, record)
}

func (tj *TerminalJobs) read(ctx context.Context, id string) (storage.StoredTerminalRecord, bool, error) {
	return ReadTerminal(ctx, tj.client, id)
}

// ReadTerminal reads the terminal record of a job, and reports whether there is one. It fails with a
// *storage.RecordError if the record cannot be used, or with an error of the client.
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
