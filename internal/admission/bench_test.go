package admission

import (
	"fmt"
	"testing"
)

// BenchmarkDecide decides about jobs by a plan that restricts 96 cells of 12 teams.
func BenchmarkDecide(b *testing.B) {
	plan := crowded(12, 4)
	job := testJob(77, "kitchen-03", "class-2", 10, 100)
	b.ReportAllocs()
	for b.Loop() {
		_ = plan.Decide(job)
	}
}

// BenchmarkNextPlan makes a plan for 12 teams with as many waiting jobs as are remembered.
func BenchmarkNextPlan(b *testing.B) {
	f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink", "a", "b", "c", "d", "e", "f", "g", "h", "i"))
	for i := range maxWaiting {
		team := f.teams[i%len(f.teams)].Name
		cell := Cell{Team: team, Class: fmt.Sprintf("class-%d", i%4)}
		f.backlog[cell] += 1_000_000
		f.waiting.Add(fmt.Sprintf("j-%06d", i), Decision{Cell: cell, Cost: 100_000}, f.now)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = f.planner.Next(f.version+1, 1, f.measure())
	}
}
