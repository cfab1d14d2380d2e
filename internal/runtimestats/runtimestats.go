// Package runtimestats reads the CPU time and memory usage of the process from the Go runtime.
package runtimestats

import (
	"log/slog"
	"runtime/metrics"
)

// Snapshot holds statistics of the Go runtime since the start of the process. The runtime updates
// CPU times only at the end of each garbage collection. A statistic that this version of Go does not
// provide is 0.
type Snapshot struct {
	UserSeconds      float64 // CPU time in the program's own code
	CollectorSeconds float64 // CPU time of the garbage collector
	IdleSeconds      float64 // available CPU time that was not used
	Collections      uint64  // completed garbage collections
	HeapBytes        uint64  // live objects, and dead ones that are not swept yet
	StackBytes       uint64
	TotalBytes       uint64 // all memory mapped by the runtime
	Goroutines       uint64
}

// Names of the statistics in package runtime/metrics.
const (
	userSeconds      = "/cpu/classes/user:cpu-seconds"
	collectorSeconds = "/cpu/classes/gc/total:cpu-seconds"
	idleSeconds      = "/cpu/classes/idle:cpu-seconds"
	collections      = "/gc/cycles/total:gc-cycles"
	heapBytes        = "/memory/classes/heap/objects:bytes"
	stackBytes       = "/memory/classes/heap/stacks:bytes"
	totalBytes       = "/memory/classes/total:bytes"
	goroutines       = "/sched/goroutines:goroutines"
)

// Read returns the current statistics. It is safe for concurrent use.
func Read() Snapshot {
	var s Snapshot
	statistics := []struct {
		name    string
		seconds *float64 // destination of a floating-point value, or nil
		count   *uint64  // destination of an integer value, or nil
	}{
		{name: userSeconds, seconds: &s.UserSeconds},
		{name: collectorSeconds, seconds: &s.CollectorSeconds},
		{name: idleSeconds, seconds: &s.IdleSeconds},
		{name: collections, count: &s.Collections},
		{name: heapBytes, count: &s.HeapBytes},
		{name: stackBytes, count: &s.StackBytes},
		{name: totalBytes, count: &s.TotalBytes},
		{name: goroutines, count: &s.Goroutines},
	}
	samples := make([]metrics.Sample, len(statistics))
	for i, statistic := range statistics {
		samples[i].Name = statistic.name
	}
	metrics.Read(samples)
	for i, statistic := range statistics {
		switch value := samples[i].Value; {
		case statistic.seconds != nil && value.Kind() == metrics.KindFloat64:
			*statistic.seconds = value.Float64()
		case statistic.count != nil && value.Kind() == metrics.KindUint64:
			*statistic.count = value.Uint64()
		}
	}
	return s
}

// LogValue implements slog.LogValuer.
func (s Snapshot) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Float64("user_s", s.UserSeconds),
		slog.Float64("collector_s", s.CollectorSeconds),
		slog.Float64("idle_s", s.IdleSeconds),
		slog.Uint64("collections", s.Collections),
		slog.Uint64("heap_bytes", s.HeapBytes),
		slog.Uint64("stack_bytes", s.StackBytes),
		slog.Uint64("total_bytes", s.TotalBytes),
		slog.Uint64("goroutines", s.Goroutines),
	)
}
