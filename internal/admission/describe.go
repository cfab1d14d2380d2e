package admission

import (
	"fmt"
	"io"
	"text/tabwriter"

	"dunestand/internal/protocol"
)

// Constants of the printed tables.
const (
	columnPadding = 2
	percent       = 100
)

// Describe writes the teams of the plan, the flows that it restricts and the jobs at the head
// of the queue as human-readable tables.
func (p *Plan) Describe(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintf(table, "plan %d of term %d\n", p.Version, p.FencingToken)
	fmt.Fprintf(table, "horizon\t%.0f s\n", p.Horizon.Seconds())
	for pool, amount := range p.Capacity {
		if amount > 0 {
			fmt.Fprintf(table, "%v\t%g\n", Pool(pool), amount.Float())
		}
	}
	p.describeTeams(table)
	p.describeFlows(table)
	p.describeQueueHeads(table)
	return table.Flush()
}

// describeTeams writes the table of the teams' entries.
func (p *Plan) describeTeams(w io.Writer) {
	fmt.Fprintf(w, "\nteam\tpool\tquota\tlarge above\testimates\n")
	for key, entry := range p.allTeams() {
		fmt.Fprintf(w, "%s\t%v\t%.0f\t%.0f\tx %.2f\n", key.Team, key.Pool, entry.VersionQuota.UnitSeconds(),
			entry.LargeThreshold.UnitSeconds(), float64(entry.EstimateCorrection)/float64(exactEstimates))
	}
}

// describeFlows writes the table of the restricted flows.
func (p *Plan) describeFlows(w io.Writer) {
	if p.NumRestrictedFlows() == 0 {
		fmt.Fprintf(w, "\nnothing is restricted\n")
		return
	}
	fmt.Fprintf(w, "\nrestricted\tclass\tpool\tjobs\twindow\tquota\n")
	for flow, restriction := range p.allRestrictions() {
		class := flow.Class
		if class == "" {
			class = "(all others)"
		}
		window := "by name"
		if flow.Band == BandSmall {
			window = fmt.Sprintf("%.0f%% from %.0f%%", ringPercent(restriction.Width), ringPercent(restriction.Start))
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%s\t%.0f\n", flow.Team, class, flow.Pool, flow.Band, window, restriction.VersionQuota.UnitSeconds())
	}
}

// ringPercent returns a number of positions as a percentage of the ring.
func ringPercent(positions uint32) float64 { return float64(positions) / ringSize * percent }

// describeQueueHeads writes the IDs of the jobs at the head of the queue.
func (p *Plan) describeQueueHeads(w io.Writer) {
	if p.NumQueueHeads() == 0 {
		return
	}
	fmt.Fprintf(w, "\nlarge jobs whose turn it is\n")
	for id := range p.allQueueHeads() {
		fmt.Fprintln(w, id)
	}
}

// Explain writes the plan's decision on a job and the reason for it in human-readable form.
func (p *Plan) Explain(w io.Writer, job *protocol.JobSpec) error {
	d := p.Decide(job)
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintf(table, "%s\t%v by plan %d\n", job.ID, d.Verdict, p.Version)
	if d.Verdict != Admit {
		fmt.Fprintf(table, "why\t%v\n", d.Reason)
		fmt.Fprintf(table, "again after\t%.1f s\n", d.RetryAfter.Seconds())
	}
	fmt.Fprintf(table, "reckoned as\t%v job of %s, class %s, by %v\n", d.Flow.Band, d.Flow.Team, d.Flow.Class, d.Flow.Pool)
	fmt.Fprintf(table, "work\t%.0f %v seconds\n", d.Cost.UnitSeconds(), d.Flow.Pool)
	if restriction, _, restricted := p.Restriction(d.Flow); restricted && d.Flow.Band == BandSmall {
		fmt.Fprintf(table, "position\t%.0f%%; the window has %.0f%% from %.0f%%\n", ringPercent(position(job.ID)),
			ringPercent(restriction.Width), ringPercent(restriction.Start))
	}
	return table.Flush()
}
