package cluster

import (
	"slices"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
)

// A job leaves the index with its last unreconciled machine, and a machine with its last job.
func TestUnreconciledIndexFollowsMachinesAndJobs(t *testing.T) {
	state := NewState(nil, config.KVLimits{ValueKB: 8, TxnOps: 12})
	u := &state.Unreconciled
	first := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 5}, 0, 0)
	second := state.NewJob(protocol.JobSpec{ID: "j-000002", Tasks: 5}, 0, 0)
	u.Mark(first, "i-2")
	u.Mark(first, "i-1")
	u.Mark(second, "i-2")
	u.Mark(second, "i-2") // known already
	if got := u.Machines(); !slices.Equal(got, []string{"i-1", "i-2"}) || u.Len() != 2 {
		t.Errorf("unreconciled: %v, %d", got, u.Len())
	}
	if first.UnreconciledTasks() != 5 {
		t.Errorf("%d tasks may be on unreconciled machines, want all pending ones", first.UnreconciledTasks())
	}
	second.Cancelled = true
	if state.HoldsCancelled("i-1") || !state.HoldsCancelled("i-2") {
		t.Error("HoldsCancelled does not match the machines of the cancelled job")
	}

	u.Resolve("i-2")
	if u.Contains("i-2") || !u.Contains("i-1") || state.HoldsCancelled("i-2") {
		t.Errorf("after i-2 is reconciled: %v", u.Machines())
	}
	if jobs := slices.Collect(u.Jobs()); !slices.Equal(jobs, []*Job{first}) {
		t.Errorf("%d jobs are left", len(jobs))
	}
	state.DropUnaccepted("j-000001")
	if u.Len() != 0 || len(slices.Collect(u.Jobs())) != 0 {
		t.Errorf("after the job is dropped: %v", u.Machines())
	}
}
