package runtimestats

import (
	"runtime"
	"testing"
)

// A renamed metric of the runtime would read as 0 for good.
func TestReadFindsEveryFigure(t *testing.T) {
	runtime.GC()
	s := Read()
	if s.UserSeconds <= 0 || s.CollectorSeconds <= 0 {
		t.Errorf("processor seconds are missing: %+v", s)
	}
	if s.Collections == 0 {
		t.Errorf("collections are missing: %+v", s)
	}
	if s.HeapBytes == 0 || s.StackBytes == 0 || s.TotalBytes <= s.HeapBytes {
		t.Errorf("memory is missing: %+v", s)
	}
	if s.Goroutines == 0 {
		t.Errorf("goroutines are missing: %+v", s)
	}
}
