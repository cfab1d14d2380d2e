package cluster

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// newStateWithJob returns a state and a job in it with the given number of tasks.
func newStateWithJob(tasks int) (*State, *Job) {
	state := NewState([]config.Team{{Name: "team", LimitCPUs: 100}}, config.KVLimits{ValueKB: 8, TxnOps: 12})
	return state, state.NewJob(protocol.JobSpec{
		ID:      "j-000001",
		Team:    "team",
		Tasks:   tasks,
		Request: units.Resources{CPU: 1},
	}, 0, 0)
}

// Heartbeats can list the attempts of a task, and prove that they are gone, in any order. Each
// attempt counts as usage until it is gone, all but the latest are stopped, and the task is
// pending again only once no attempt is left.
func TestTaskIsPendingOnceNoAttemptIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, job := newStateWithJob(1)
		var live []*Attempt
		numbers := rapid.Permutation([]uint64{1, 2, 3, 4, 5}).Draw(t, "numbers")
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if len(numbers) > 0 && rapid.Bool().Draw(t, "another is shown") {
				m := state.EnsureMachine(rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "machine"), "m", "a", true, 0)
				live = append(live, state.Adopt(job, 0, numbers[0], m, 0))
				numbers = numbers[1:]
			} else if len(live) > 0 {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
				state.RemoveAttempt(live[i], 0)
				state.RemoveAttempt(live[i], 0) // has no effect
				live = slices.Delete(live, i, i+1)
			}
			checkAttempts(t, state, job, live)
		}
	})
}

// checkAttempts checks the state of a job with one task against its live attempts.
func checkAttempts(t *rapid.T, state *State, job *Job, live []*Attempt) {
	want := slices.SortedFunc(slices.Values(live), func(a, b *Attempt) int { return int(b.Number) - int(a.Number) })
	if got := slices.Collect(job.LiveAttempts.Of(0)); !slices.Equal(got, want) {
		t.Fatalf("attempts %v, want %v", got, want)
	}
	if got := state.Teams["team"].Used.CPU; got != units.Amount(len(live)) {
		t.Fatalf("%d attempts use %v", len(live), got)
	}
	if pending := job.Pending(); pending != 1-min(1, len(live)) {
		t.Fatalf("%d pending with %d attempts", pending, len(live))
	}
	for i, a := range want {
		if i > 0 && !a.Stopping {
			t.Fatalf("attempt %d is not stopped in favor of attempt %d", a.Number, want[0].Number)
		}
		if a.HasDuplicate() != (len(want) > 1) {
			t.Fatalf("attempt %d of %d: duplicate %v", a.Number, len(want), a.HasDuplicate())
		}
	}
	machines := map[string]bool{}
	for _, a := range live {
		machines[a.Machine.ID] = true
	}
	for _, m := range []string{"i-1", "i-2", "i-3"} {
		if job.records.inUse(m) != machines[m] {
			t.Fatalf("%s: named in the record %v, holds attempts %v", m, job.records.inUse(m), machines[m])
		}
	}
}
