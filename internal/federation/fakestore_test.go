package federation

import (
	"context"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// memoryStore keeps records with versions, as the state service does.
type fakeStore struct {
	mu       sync.Mutex
	records  map[string]protocol.Item
	revision uint64
	down     bool
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]protocol.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Item
	for key, item := range s.records {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, item)
		}
	}
	return out, nil
}

func (s *fakeStore) Save(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, context.DeadlineExceeded
	}
	if s.records[key].Version != version {
		return 0, ErrConflict
	}
	s.revision++
	if value == nil {
		delete(s.records, key)
	} else {
		s.records[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	}
	return s.revision, nil
}
