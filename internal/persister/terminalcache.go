package persister

import "dunestand/internal/storage"

// terminalCacheSize bounds the terminal records that are kept in memory.
const terminalCacheSize = 4096

// terminalCache keeps the terminal records of the jobs asked about last, in two generations of
// half the bound each. It must not be used concurrently.
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
