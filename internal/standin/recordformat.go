package standin

import (
	"context"
	"sync/atomic"

	"dunestand/internal/storage"
)

// RecordFormat is a fleet's format that tests set.
type RecordFormat struct{ Level atomic.Int64 }

func NewRecordFormat(level storage.Format) *RecordFormat {
	f := new(RecordFormat)
	f.Level.Store(int64(level))
	return f
}

func (f *RecordFormat) Current() storage.Format { return storage.Format(f.Level.Load()) }

func (f *RecordFormat) TooNew() bool { return false }

func (f *RecordFormat) Refresh(context.Context) error { return nil }
