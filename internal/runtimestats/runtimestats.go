// Package runtimestats reads what the Go runtime measures of its own process:
// where processor time goes, and what memory is used for.
package runtimestats

import (
	"log/slog"
	"runtime/metrics"
)

// Snapshot holds the runtime's figures since the process started. The runtime
// brings its processor seconds up to date at the end of each collection.
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

// Read takes a snapshot.
func Read() Snapshot {
	samples := []metrics.Sample{
		{Name: userSeconds},
		{Name: collectorSeconds},
		{Name: idleSeconds},
		{Name: collections},
		{Name: heapBytes},
		{Name: stackBytes},
		{Name: totalBytes},
		{Name: goroutines},
	}
	metrics.Read(samples)
	return Snapshot{
		UserSeconds:      seconds(samples[0]),
		CollectorSeconds: seconds(samples[1]),
		IdleSeconds:      seconds(samples[2]),
		Collections:      count(samples[3]),
		HeapBytes:        count(samples[4]),
		StackBytes:       count(samples[5]),
		TotalBytes:       count(samples[6]),
		Goroutines:       count(samples[7]),
	}
}

// seconds gives a sample's value, 0 if this version of Go does not have it.
func seconds(sample metrics.Sample) float64 {
	if sample.Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return sample.Value.Float64()
}

// count gives a sample's value, 0 if this version of Go does not have it.
func count(sample metrics.Sample) uint64 {
	if sample.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample.Value.Uint64()
}

// LogValue lists the figures for a log line.
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
