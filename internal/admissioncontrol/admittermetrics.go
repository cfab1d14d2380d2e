package admissioncontrol

import (
	"fmt"
	"io"

	"dunestand/internal/admission"
)

// addMetrics registers the gauges of admission and the counters of decisions by team.
func (a *Admitter) addMetrics() {
	gauges := []struct {
		name  string
		value func() float64
	}{
		{"dunestand_admission_active", func() float64 { return gaugeOf(a.active()) }},
		{"dunestand_admission_held_back", func() float64 { return gaugeOf(!a.active()) }},
		{"dunestand_admission_plan_unreadable", func() float64 { return gaugeOf(a.unreadableRevision.Load() != 0) }},
		{"dunestand_admission_at_floor", func() float64 { return gaugeOf(a.State().Source == admission.SourceFallback) }},
		{"dunestand_admission_plan_version", a.planVersion},
		{"dunestand_admission_restricted_cells", a.restrictedFlows},
	}
	for _, g := range gauges {
		a.metrics.AddGauge(g.name, g.value)
	}
	a.metrics.AddWriter(a.writeCounts)
}

// gaugeOf returns the gauge value of a condition: 1 if it holds, 0 if not.
func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// planVersion returns the version of the stored plan that is in force, 0 if there is none.
func (a *Admitter) planVersion() float64 {
	if s := a.State(); s.Source == admission.SourceRecord {
		return float64(s.Plan.Version)
	}
	return 0
}

// restrictedFlows returns the number of flows that the plan in force restricts.
func (a *Admitter) restrictedFlows() float64 {
	if s := a.State(); s.Plan != nil {
		return float64(s.Plan.NumRestrictedFlows())
	}
	return 0
}

// writeCounts writes the number of this controller's decisions, by team and verdict.
func (a *Admitter) writeCounts(w io.Writer) {
	for _, c := range a.planStore.CountsByTeam() {
		fmt.Fprintf(w, "dunestand_admission_admitted_total{team=%q} %d\n", c.Team, c.Admitted)
		fmt.Fprintf(w, "dunestand_admission_waits_total{team=%q} %d\n", c.Team, c.Waits)
		fmt.Fprintf(w, "dunestand_admission_undecided_total{team=%q} %d\n", c.Team, c.Undecided)
	}
}
