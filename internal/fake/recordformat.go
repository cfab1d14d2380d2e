package fake

import (
	"context"
	"sync/atomic"

	"dunestand/internal/storage"
)

// RecordFormat is a fake of the record format that a fleet has agreed on. Tests set it in Format,
// also while it is in use.
type RecordFormat struct{ Format atomic.Int64 }

// NewRecordFormat returns a RecordFormat set to format.
func NewRecordFormat(format storage.Format) *RecordFormat {
	f := new(RecordFormat)
	f.Format.Store(int64(format))
	return f
}

// Current returns the format in Format.
func (f *RecordFormat) Current() storage.Format { return storage.Format(f.Format.Load()) }

// TooNew returns false: the program can read every format.
func (f *RecordFormat) TooNew() bool { return false }

// Refresh does nothing: the format is read from Format, not from the key-value store.
func (f *RecordFormat) Refresh(context.Context) error { return nil }
