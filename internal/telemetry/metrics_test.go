package telemetry

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"dunestand/internal/units"
)

func TestTextContainsAllAddedMetrics(t *testing.T) {
	m := NewMetrics()
	value := 1.0
	m.AddGauge("dunestand_test", func() float64 { return value })
	m.AddWriter(func(w io.Writer) { fmt.Fprintln(w, `dunestand_by_team{team="a"} 2`) })
	m.AddRuntime()
	m.ObservePlacementDelay(3 * units.Second)
	m.ObserveAdmissionWait(500 * units.Millisecond)
	value = 4
	text := string(m.Text(func(w io.Writer) { fmt.Fprintln(w, "dunestand_of_the_leader 5") }))
	for _, line := range []string{
		"dunestand_test 4",
		`dunestand_by_team{team="a"} 2`,
		"dunestand_of_the_leader 5",
		"dunestand_placement_delay_seconds_sum 3",
		"dunestand_admission_wait_seconds_count 1",
		"dunestand_runtime_goroutines ",
	} {
		if !strings.Contains("\n"+text, "\n"+line) {
			t.Errorf("no line begins with %q", line)
		}
	}
	if later := string(m.Text()); strings.Contains(later, "dunestand_of_the_leader") {
		t.Error("the output of an extra writer appears in a later text")
	}
}
