package fake

import (
	"context"
	"sync/atomic"

	"dunestand/internal/storage"
)

// RecordFormat is a fake of the record format that a fleet has agreed on. Tests set it in Level,
// also while it is in use.
type RecordFormat struct{ Format atomic.Int64 }

// NewRecordFormat returns a RecordFormat set to level.
func NewRecordFormat(level storage.Format) *RecordFormat {
	f := new(RecordFormat)
	f.Format.Store(int64(level))
	return f
}

// Current returns the format in Level.
func (f *RecordFormat) Current() storage.Format { return storage.Format(f.Format.Load()) }

// TooNew returns false: the program can read every format.
func (f *RecordFormat) TooNew() bool { return false }

// Refresh does nothing: the format is read from Level, not from the key-value store.
func (f *RecordFormat) Refresh(context.Context) error { return nil }
