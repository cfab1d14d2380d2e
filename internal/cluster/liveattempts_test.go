package cluster

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// newStateWithJob returns a state with a job of so many tasks that run on machines of type m.
func newStateWithJob(tasks int) (*State, *Job) {
	state := NewState([]config.Team{{Name: "team", LimitCPUs: 100}}, config.KVLimits{ValueKB: 8, TxnOps: 12})
	return state, state.NewJob(protocol.JobSpec{
		ID:      "j-000001",
		Team:    "team",
		Tasks:   tasks,
		Request: units.Resources{CPU: 1},
	}, 0, 0)
}

// Whatever the order in which machines show attempts of a task and prove that these are gone,
// each attempt counts until then, the latest one alone may go on, and the task is pending
// again only once none is left.
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
				state.AttemptGone(live[i], 0)
				state.AttemptGone(live[i], 0) // has no effect
				live = slices.Delete(live, i, i+1)
			}
			checkAttempts(t, state, job, live)
		}
	})
}

// checkAttempts checks what the state keeps of a job of one task whose attempts are live.
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
			t.Fatalf("attempt %d goes on beside %d", a.Number, want[0].Number)
		}
		if a.HasRival() != (len(want) > 1) {
			t.Fatalf("attempt %d of %d: rival %v", a.Number, len(want), a.HasRival())
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
