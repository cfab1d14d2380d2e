package standin

import (
	"context"
	"sync/atomic"
)

// RecordFormat is a fleet's format that tests set.
type RecordFormat struct{ Level atomic.Int64 }

func NewRecordFormat(level int) *RecordFormat {
	f := new(RecordFormat)
	f.Level.Store(int64(level))
	return f
}

func (f *RecordFormat) Current() int { return int(f.Level.Load()) }

func (f *RecordFormat) TooNew() bool { return false }

func (f *RecordFormat) Refresh(context.Context) error { return nil }
