package admissioncontrol

import (
	"fmt"
	"io"
)

// writeUsages writes the usage of the teams at the last proposal as metrics of the leader.
func (p *planPublisher) writeUsages(w io.Writer) {
	usages := p.usages.Load()
	if usages == nil {
		return
	}
	for _, u := range *usages {
		labels := fmt.Sprintf("{team=%q,pool=%q}", u.Team, u.Pool.String())
		fmt.Fprintf(w, "dunestand_admission_share_unit_seconds%s %g\n", labels, u.Share.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_guaranteed_unit_seconds%s %g\n", labels, u.Guaranteed.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_backlog_unit_seconds%s %g\n", labels, u.Backlog.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_waiting_unit_seconds%s %g\n", labels, u.Waiting.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_excess_unit_seconds%s %g\n", labels, u.Excess().UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_restricted%s %g\n", labels, gaugeOf(u.Restricted))
	}
}
