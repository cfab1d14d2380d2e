// Package runtimestats reads what the Go runtime measures of its own process:
// where processor time goes, and what memory is used for.
package runtimestats

import (
	"log/slog"
	"runtime/metrics"
)

// Snapshot holds the runtime's figures since the process started. The runtime
// updates its processor seconds at the end of each collection. A figure that this version
// of Go does not have is 0.
type Snapshot struct {
	UserSeconds      float64 // processor time in this program's own code
	CollectorSeconds float64 // processor time of the garbage collector
	IdleSeconds      float64 // time in which no goroutine could run
	Collections      uint64
	HeapBytes        uint64 // live objects, and dead ones that are not swept yet
	StackBytes       uint64
	TotalBytes       uint64 // all memory mapped by the runtime
	Goroutines       uint64
}

// The names of the figures in runtime/metrics.
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

// Read takes a snapshot. It may be called from several goroutines.
func Read() Snapshot {
	var s Snapshot
	figures := []struct {
		name    string
		seconds *float64 // where the value goes, if it is of this kind
		count   *uint64
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
	samples := make([]metrics.Sample, len(figures))
	for i, figure := range figures {
		samples[i].Name = figure.name
	}
	metrics.Read(samples)
	for i, figure := range figures {
		switch value := samples[i].Value; {
		case figure.seconds != nil && value.Kind() == metrics.KindFloat64:
			*figure.seconds = value.Float64()
		case figure.count != nil && value.Kind() == metrics.KindUint64:
			*figure.count = value.Uint64()
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
