package runtimestats

import (
	"runtime"
	"testing"
)

// If a new version of Go renames a metric, its statistic would always be 0.
func TestReadFindsEveryStatistic(t *testing.T) {
	runtime.GC()
	s := Read()
	if s.UserSeconds <= 0 || s.CollectorSeconds <= 0 {
		t.Errorf("CPU times are missing: %+v", s)
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
