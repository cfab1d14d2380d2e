package admission_test

import (
	"fmt"

	"dunestand/internal/admission"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A planner makes a plan from a measurement, and the plan decides on each job.
func Example() {
	options := admission.Options{Horizon: 100 * units.Second}
	teams := []admission.Team{
		{Name: "planning", GuaranteedQuota: admission.Amounts{admission.CPU: units.AmountOf(10)}, QuotaLimit: admission.Amounts{admission.CPU: units.AmountOf(40)}},
		{Name: "dyehouse", GuaranteedQuota: admission.Amounts{admission.CPU: units.AmountOf(30)}, QuotaLimit: admission.Amounts{admission.CPU: units.AmountOf(40)}},
	}
	planner := admission.NewPlanner(options, teams, nil, 0)
	bulk := admission.Flow{Team: "planning", Class: "bulk"}
	plan := planner.Next(1, 1, admission.Measurement{
		// The backlog of one team takes the whole fleet when the other team requests work.
		Backlog: []admission.FlowBacklog{
			{Flow: bulk, Work: admission.WorkOf(400, units.AmountOf(1), 10*units.Second)},
			{Flow: admission.Flow{Team: "dyehouse", Class: "lot"}, Work: admission.WorkOf(10, units.AmountOf(1), 10*units.Second)},
		},
	}).Plan
	for _, job := range []protocol.JobSpec{
		{ID: "j-000001", Team: "planning", Class: "bulk", Tasks: 4, Request: units.Resources{CPU: units.AmountOf(1)}, Estimate: 10 * units.Second},
		{ID: "j-000002", Team: "dyehouse", Class: "lot", Tasks: 4, Request: units.Resources{CPU: units.AmountOf(1)}, Estimate: 10 * units.Second},
	} {
		d := plan.Decide(&job)
		fmt.Println(job.Team, d.Verdict, d.Reason)
	}
	// Output:
	// planning wait the team's work of this class has its share for now
	// dyehouse admit
}
