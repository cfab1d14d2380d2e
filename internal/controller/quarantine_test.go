package controller

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// A machine on which several jobs fail is set aside; a job that fails
// everywhere is retried ever later, and no machine is blamed for it.
func TestBlameForErrors(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(1, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	fail := func(job, machine string) *cluster.Job {
		j := state.Jobs[job]
		if j == nil {
			j = state.NewJob(*modelSpec(job), clock.Now, clock.Now)
		}
		m := state.EnsureMachine(machine, "m", "a", true, clock.Now)
		a := state.Assign(j, m, leader.token<<32|uint64(len(job)), clock.Now)
		state.AttemptFailed(a, clock.Now)
		state.AttemptGone(a, clock.Now)
		return j
	}
	fail("j-000001", "i-1")
	fail("j-000002", "i-1")
	if !state.Machines["i-1"].Quarantined {
		t.Error("a machine on which two jobs failed is not set aside")
	}
	var bad *cluster.Job
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		bad = fail("j-000003", m)
	}
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		if state.Machines[m].Quarantined {
			t.Errorf("%s is blamed for a job that fails everywhere", m)
		}
	}
	if bad.RetryAt <= clock.Now {
		t.Error("a job that fails everywhere is retried at once")
	}
}
