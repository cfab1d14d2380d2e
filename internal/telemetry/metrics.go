// Package telemetry collects the metrics of one controller.
package telemetry

import (
	"bytes"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// Metrics are the metrics that one controller serves at /metrics. All calls of AddGauge, AddWriter and
// AddRuntime must precede those of Text. The other methods are safe for concurrent use.
type Metrics struct {
	set            *metrics.Set
	placementDelay *metrics.Histogram
	admissionWait  *metrics.Histogram
	writers        []func(io.Writer)
	// Reconciliation counts the results of heartbeats.
	Reconciliation *Reconciliation
	// Answers counts the answers to users.
	Answers *Answers
}

// NewMetrics returns the metrics that every controller has: histograms and counters.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:            set,
		placementDelay: set.NewHistogram("dunestand_placement_delay_seconds"),
		admissionWait:  set.NewHistogram("dunestand_admission_wait_seconds"),
		Reconciliation: newReconciliation(set),
		Answers:        newAnswers(set),
	}
}

// AddGauge adds a gauge whose value is computed for each call of Text. value must be safe for
// concurrent use, and name must be unique.
func (m *Metrics) AddGauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// AddWriter adds a function that writes further metrics in the Prometheus text format, for metrics
// whose labels are not known in advance. write must be safe for concurrent use.
func (m *Metrics) AddWriter(write func(io.Writer)) { m.writers = append(m.writers, write) }

// ObserveAdmissionWait records the time that an admitted job has waited for admission.
func (m *Metrics) ObserveAdmissionWait(wait units.Micros) { m.admissionWait.Update(wait.Seconds()) }

// ObservePlacementDelay records the delay of a placement since the leader learned of the job.
func (m *Metrics) ObservePlacementDelay(delay units.Micros) { m.placementDelay.Update(delay.Seconds()) }

// AddRuntime adds gauges of the Go runtime.
func (m *Metrics) AddRuntime() {
	gauges := []struct {
		name  string
		value func(runtimestats.Snapshot) float64
	}{
		{"dunestand_runtime_user_seconds_total", func(s runtimestats.Snapshot) float64 { return s.UserSeconds }},
		{"dunestand_runtime_collector_seconds_total", func(s runtimestats.Snapshot) float64 { return s.CollectorSeconds }},
		{"dunestand_runtime_idle_seconds_total", func(s runtimestats.Snapshot) float64 { return s.IdleSeconds }},
		{"dunestand_runtime_collections_total", func(s runtimestats.Snapshot) float64 { return float64(s.Collections) }},
		{"dunestand_runtime_heap_bytes", func(s runtimestats.Snapshot) float64 { return float64(s.HeapBytes) }},
		{"dunestand_runtime_stack_bytes", func(s runtimestats.Snapshot) float64 { return float64(s.StackBytes) }},
		{"dunestand_runtime_memory_bytes", func(s runtimestats.Snapshot) float64 { return float64(s.TotalBytes) }},
		{"dunestand_runtime_goroutines", func(s runtimestats.Snapshot) float64 { return float64(s.Goroutines) }},
	}
	for _, g := range gauges {
		m.AddGauge(g.name, func() float64 { return g.value(runtimestats.Read()) })
	}
}

// Text returns the metrics in the Prometheus text format, followed by the output of extra.
func (m *Metrics) Text(extra ...func(io.Writer)) []byte {
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	for _, write := range m.writers {
		write(&b)
	}
	for _, write := range extra {
		write(&b)
	}
	return b.Bytes()
}
