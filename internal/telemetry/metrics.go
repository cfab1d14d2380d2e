// Package telemetry holds the metrics of one controller.
package telemetry

import (
	"bytes"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"dunestand/internal/runtimestats"
	"dunestand/internal/units"
)

// Metrics is what a node counts and shows under /metrics.
type Metrics struct {
	set       *metrics.Set
	placement *metrics.Histogram
	admission *metrics.Histogram
	writers   []func(io.Writer)
}

// AddWriter adds lines whose labels are known only when they are asked for.
func (m *Metrics) AddWriter(write func(io.Writer)) { m.writers = append(m.writers, write) }

// NewMetrics makes the metrics of one node.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:       set,
		placement: set.NewHistogram("dunestand_placement_delay_seconds"),
		admission: set.NewHistogram("dunestand_admission_wait_seconds"),
	}
}

// AdmissionWaited notes how long a job waited until it was admitted.
func (m *Metrics) AdmissionWaited(wait units.Micros) { m.admission.Update(wait.Seconds()) }

func (m *Metrics) Placed(delay units.Micros) { m.placement.Update(delay.Seconds()) }

// Gauge adds a value that is worked out when it is asked for.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// AddRuntime adds the runtime's own figures.
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

// Text returns the metrics in the text format of Prometheus, with what further writers add.
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
