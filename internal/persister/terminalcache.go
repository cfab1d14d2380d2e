package persister

import "dunestand/internal/storage"

// terminalCacheSize is the largest number of terminal records that are kept in memory.
const terminalCacheSize = 4096

// terminalCache caches the most recently used terminal records, by job ID. It has two generations
// of at most maxEntries/2 records each: when the recent one is full, it replaces the previous one.
// It must not be used concurrently.
type terminalCache struct {
	maxEntries       int
	previous, recent map[string]storage.StoredTerminalRecord
}

func newTerminalCache(maxEntries int) *terminalCache {
	return &terminalCache{
		maxEntries: maxEntries,
		previous:   map[string]storage.StoredTerminalRecord{},
		recent:     map[string]storage.StoredTerminalRecord{},
	}
}

func (c *terminalCache) put(id string, record storage.StoredTerminalRecord) {
	if len(c.recent) >= c.maxEntries/2 {
		c.previous, c.recent = c.recent, map[string]storage.StoredTerminalRecord{}
	}
	c.recent[id] = record
}

func (c *terminalCache) get(id string) (storage.StoredTerminalRecord, bool) {
	if record, ok := c.recent[id]; ok {
		return record, true
	}
	record, ok := c.previous[id]
	if ok {
		c.put(id, record)
	}
	return record, ok
}
