// Package telemetry holds the metrics of one controller.
package telemetry

import (
	"bytes"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// Metrics is what one controller counts and shows under /metrics. Gauge, AddWriter and AddRuntime
// are called before the metrics are served; the other methods may be called concurrently.
type Metrics struct {
	set            *metrics.Set
	placementDelay *metrics.Histogram
	admissionWait  *metrics.Histogram
	writers        []func(io.Writer)
	// Reconciliation counts what is made of heartbeats.
	Reconciliation *Reconciliation
	// Answers counts the answers to users.
	Answers *Answers
}

// NewMetrics returns the metrics of one controller, with the histograms of all controllers.
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

// Gauge adds a value that is computed when the metrics are shown. value must be safe for
// concurrent use, and no other gauge may have the name.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// AddWriter adds lines in the text format of Prometheus whose labels are known only when the
// metrics are shown. write must be safe for concurrent use.
func (m *Metrics) AddWriter(write func(io.Writer)) { m.writers = append(m.writers, write) }

// AdmissionWaited counts a job that was admitted, and how long it had waited.
func (m *Metrics) AdmissionWaited(wait units.Micros) { m.admissionWait.Update(wait.Seconds()) }

// Placed counts a placement, and the time from when the leader learned of the job until then.
func (m *Metrics) Placed(delay units.Micros) { m.placementDelay.Update(delay.Seconds()) }

// AddRuntime adds gauges of the Go runtime, each read when the metrics are shown.
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
		m.Gauge(g.name, func() float64 { return g.value(runtimestats.Read()) })
	}
}

// Text returns the metrics in the text format of Prometheus, followed by what further writers
// add.
func (m *Metrics) Text(further ...func(io.Writer)) []byte {
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	for _, write := range m.writers {
		write(&b)
	}
	for _, write := range further {
		write(&b)
	}
	return b.Bytes()
}
