package federation

import (
	"context"
	"strings"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// fakeWriteTime is the duration of a write.
const fakeWriteTime = 6 * time.Millisecond

// fakeStore is an in-memory Store. It rejects all writes while down is set.
type fakeStore struct {
	mu       sync.Mutex
	records  map[string]protocol.Item
	revision uint64
	down     bool
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]protocol.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []protocol.Item
	for key, item := range s.records {
		if len(key) > len(prefix) && strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	return found, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	time.Sleep(fakeWriteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, context.DeadlineExceeded
	}
	if s.records[key].Version != version {
		return 0, ErrVersionConflict
	}
	s.revision++
	if value == nil {
		delete(s.records, key)
	} else {
		s.records[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	}
	return s.revision, nil
}
