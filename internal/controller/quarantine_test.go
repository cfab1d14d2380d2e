package controller

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/units"
)

// A machine on which several jobs fail is quarantined. A job that fails on every machine is retried
// with growing delays, and no machine is quarantined for it.
func TestMachineIsQuarantinedWhenSeveralJobsFailOnIt(t *testing.T) {
	leader, clock := newEmptyLeader(1, units.Second)
	state := leader.state
	fail := func(jobID, machineID string) *cluster.Job {
		job := state.Jobs[jobID]
		if job == nil {
			job = state.NewJob(*fake.JobSpec(jobID), clock.Now, clock.Now)
		}
		machine := state.EnsureMachine(machineID, "m", "a", true, clock.Now)
		attempt := state.Assign(job, machine, leader.token<<32|uint64(len(jobID)), clock.Now)
		state.Outcomes.AttemptFailed(attempt, clock.Now)
		state.RemoveAttempt(attempt, clock.Now)
		return job
	}
	fail("j-000001", "i-1")
	fail("j-000002", "i-1")
	if !state.Machines["i-1"].Quarantined {
		t.Error("a machine on which two jobs failed is not quarantined")
	}
	others := []string{"i-2", "i-3", "i-4", "i-5", "i-6"}
	var failing *cluster.Job
	for _, id := range others {
		failing = fail("j-000003", id)
	}
	for _, id := range others {
		if state.Machines[id].Quarantined {
			t.Errorf("%s is quarantined because of a job that fails everywhere", id)
		}
	}
	if failing.RetryAt <= clock.Now {
		t.Error("a job that fails everywhere is retried without a delay")
	}
}
