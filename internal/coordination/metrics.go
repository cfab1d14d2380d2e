package coordination

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"dunestand/internal/protocol"
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

// addWriter adds lines whose labels are known only when they are asked for.
func (m *Metrics) addWriter(write func(io.Writer)) { m.writers = append(m.writers, write) }

// NewMetrics makes the metrics of one node.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:       set,
		placement: set.NewHistogram("dunestand_placement_delay_seconds"),
		admission: set.NewHistogram("dunestand_admission_wait_seconds"),
	}
}

// admissionWaited notes how long a job waited until it was admitted.
func (m *Metrics) admissionWaited(wait units.Micros) { m.admission.Update(wait.Seconds()) }

func (m *Metrics) placed(delay units.Micros) { m.placement.Update(delay.Seconds()) }

// Gauge adds a value that is worked out when it is asked for.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// addRuntime adds the runtime's own figures.
func (m *Metrics) addRuntime() {
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

// runtimeLogEvery is the pace of the log line with the runtime's figures. Every node
// writes it, leader or not.
const runtimeLogEvery = 10 * units.Second

// logRuntime logs the runtime's figures until ctx ends.
func (c *Controller) logRuntime(ctx context.Context) {
	for pause(ctx, runtimeLogEvery) {
		c.deps.Log.Info("process", "leading", c.leading() != nil, "runtime", runtimestats.Read())
	}
}

// Text writes the metrics; term may be nil.
func (m *Metrics) Text(term *Term) []byte {
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	for _, write := range m.writers {
		write(&b)
	}
	if term != nil {
		term.writeQueue(&b)
		term.admission.publisher.writeStandings(&b)
	}
	return b.Bytes()
}

// writeQueue writes what waits and runs, by class and priority.
func (t *Term) writeQueue(b *bytes.Buffer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type key struct {
		class    string
		priority protocol.Priority
	}
	pending, running := map[key]int{}, map[key]int{}
	for _, j := range t.ledger.Jobs {
		k := key{j.Spec.Class, j.Spec.Priority}
		pending[k] += j.Pending()
		running[k] += len(j.LiveAttempts)
	}
	for k, n := range pending {
		fmt.Fprintf(b, "dunestand_tasks_pending{class=%q,priority=%q} %d\n", k.class, k.priority.String(), n)
		fmt.Fprintf(b, "dunestand_tasks_placed{class=%q,priority=%q} %d\n", k.class, k.priority.String(), running[k])
	}
	reporting := 0
	now := t.Clock.Steady()
	for _, m := range t.ledger.Machines {
		if m.Registered && now-m.LastHeartbeat < t.silentAfter() {
			reporting++
		}
	}
	fmt.Fprintf(b, "dunestand_machines %d\ndunestand_machines_reporting %d\ndunestand_term %d\n", len(t.ledger.Machines), reporting, t.number)
}
