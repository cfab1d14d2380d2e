package cluster

import (
	"fmt"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A machine that runs tasks slower than other machines run tasks of the same job is marked as
// slow, but only after enough runs to exclude the normal variation between tasks.
func TestSlowMachineIsDetected(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 40}, 0, 0)
	run := func(machine string, length units.Micros) {
		a := state.Assign(j, state.EnsureMachine(machine, "m", "a", true, 0), 1, 0)
		a.Stage, a.RunningSince = Running, units.Second
		state.Outcomes.AttemptCompleted(a, units.Second+length)
		state.TaskDone(j, a.Index, 0)
		state.RemoveAttempt(a, 0)
	}
	for range 8 {
		run("i-1", 10*units.Second)
	}
	for range 4 {
		run("i-2", 30*units.Second)
	}
	if state.Machines["i-2"].Slow {
		t.Fatal("slow after four tasks, within the variation of one job's tasks")
	}
	for range 8 {
		run("i-2", 30*units.Second)
	}
	if state.Machines["i-1"].Slow || !state.Machines["i-2"].Slow {
		t.Fatalf("slow: %v %v", state.Machines["i-1"].Slow, state.Machines["i-2"].Slow)
	}
}

// failAttempt assigns a task of the job to a machine, fails the attempt and returns the machine.
func failAttempt(state *State, j *Job, machine string, now units.Micros) *Machine {
	m := state.EnsureMachine(machine, "m", "a", true, now)
	a := state.Assign(j, m, 1, now)
	state.Outcomes.AttemptFailed(a, now)
	state.RemoveAttempt(a, now)
	return m
}

// Failures of several jobs on a machine indicate a faulty machine; failures of one job do not.
func TestMachineOnWhichSeveralJobsFailIsQuarantined(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	first := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 10}, 0, 0)
	second := state.NewJob(protocol.JobSpec{ID: "j-000002", Tasks: 10}, 0, 0)
	failAttempt(state, first, "i-1", 0)
	if m := failAttempt(state, first, "i-1", 0); m.Quarantined {
		t.Error("quarantined though only one job failed there")
	}
	if m := failAttempt(state, second, "i-1", 0); !m.Quarantined {
		t.Error("not quarantined though two jobs failed there")
	}
}

// A job that fails on every machine is retried with a bounded exponential backoff, and its
// failures do not count against the machines.
func TestJobThatFailsEverywhereIsDelayed(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 100}, 0, 0)
	last := units.Micros(0)
	for i := range 40 {
		if m := failAttempt(state, j, fmt.Sprintf("i-%d", i), 0); m.Quarantined || i >= backOffAfterMachines && len(m.failedJobs) > 0 {
			t.Fatalf("failure of the job counts against machine %d", i)
		}
		if j.RetryAt < last || j.RetryAt > maxErrorBackoff {
			t.Fatalf("retried at %d after %d", j.RetryAt, last)
		}
		last = j.RetryAt
	}
	if last != maxErrorBackoff {
		t.Errorf("retried at %d in the end, want %d", last, maxErrorBackoff)
	}
}

// A replica that repeatedly ends soon after its start is restarted with exponential backoff,
// until it has run for steadyRuntime.
func TestReplicaThatKeepsEndingIsDelayed(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 1, Kind: protocol.Service}, 0, 0)
	run := func(from, length units.Micros) {
		a := state.Assign(j, state.EnsureMachine("i-1", "m", "a", true, 0), 1, from)
		a.Stage, a.RunningSince = Running, from
		state.Outcomes.ReplicaEnded(a, false, from+length)
		state.RemoveAttempt(a, from+length)
	}
	run(units.Second, units.Second)
	if j.RetryAt != 0 {
		t.Errorf("delayed until %d after the first end", j.RetryAt)
	}
	run(2*units.Second, units.Second)
	run(4*units.Second, units.Second)
	if want := 5*units.Second + 2*replicaBackoff; j.RetryAt != want {
		t.Errorf("delayed until %d after the third end, want %d", j.RetryAt, want)
	}
	run(10*units.Second, steadyRuntime)
	if len(j.shortRuns) != 0 || !j.Succeeded {
		t.Errorf("after a long run: short runs %v", j.shortRuns)
	}
}
