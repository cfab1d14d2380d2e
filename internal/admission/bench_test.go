package admission

import (
	"fmt"
	"testing"
)

// BenchmarkDecide decides on a job by a plan that restricts 96 flows of 12 teams.
func BenchmarkDecide(b *testing.B) {
	plan := restrictedPlan(b, 12, 4)
	job := testJob(77, "kitchen-03", "class-2", 10, 100)
	b.ReportAllocs()
	for b.Loop() {
		_ = plan.Decide(job)
	}
}

// BenchmarkNextPlan makes a plan for 12 teams with a full waiting list.
func BenchmarkNextPlan(b *testing.B) {
	sim := newSimulation(b, Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink", "a", "b", "c", "d", "e", "f", "g", "h", "i"))
	for i := range maxWaiting {
		team := sim.teams[i%len(sim.teams)].Name
		flow := Flow{Team: team, Class: fmt.Sprintf("class-%d", i%4)}
		sim.backlog[flow] += 1_000_000
		sim.waiting.Add(fmt.Sprintf("j-%06d", i), Decision{Flow: flow, Cost: 100_000}, sim.now)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = sim.planner.Next(sim.version+1, 1, sim.measure())
	}
}
