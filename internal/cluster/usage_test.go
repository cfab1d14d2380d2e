package cluster

import (
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// What a replica holds counts as held for good from its start until it is to be stopped or is gone.
func TestServicesHoldCapacityUntilStopped(t *testing.T) {
	state := NewState([]config.Team{{Name: "team"}}, config.KVLimits{ValueKB: 8, TxnOps: 12})
	request := units.Resources{CPU: 1_000_000}
	service := state.NewJob(protocol.JobSpec{ID: "j-000001", Team: "team", Tasks: 2, Kind: protocol.Service, Request: request}, 0, 0)
	array := state.NewJob(protocol.JobSpec{ID: "j-000002", Team: "team", Tasks: 1, Request: request}, 0, 0)
	m := state.EnsureMachine("i-1", "m", "a", true, 0)
	stopped, gone := state.Assign(service, m, 1, 0), state.Assign(service, m, 2, 0)
	state.Assign(array, m, 3, 0)
	expect := func(step string, replicas int) {
		t.Helper()
		want := units.Resources{}.Plus(request, replicas)
		if m.Services != want || state.Teams["team"].Services != want {
			t.Errorf("%s: machine %v, team %v, want %v", step, m.Services, state.Teams["team"].Services, want)
		}
	}
	expect("two replicas", 2)
	state.StopAttempt(stopped, 0)
	expect("one is to be stopped", 1)
	state.RemoveAttempt(stopped, 0)
	expect("it has ended", 1)
	state.RemoveAttempt(gone, 0)
	expect("the other is gone", 0)
}
