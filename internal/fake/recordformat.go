package fake

import (
	"context"
	"sync/atomic"

	"dunestand/internal/storage"
)

// RecordFormat is a fleet's record format that tests set. It may be used concurrently.
type RecordFormat struct{ Level atomic.Int64 }

// NewRecordFormat returns a format of a level.
func NewRecordFormat(level storage.Format) *RecordFormat {
	f := new(RecordFormat)
	f.Level.Store(int64(level))
	return f
}

// Current returns the level.
func (f *RecordFormat) Current() storage.Format { return storage.Format(f.Level.Load()) }

// TooNew reports that this version can read the records.
func (f *RecordFormat) TooNew() bool { return false }

// Refresh does nothing.
func (f *RecordFormat) Refresh(context.Context) error { return nil }
