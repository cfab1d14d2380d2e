package cluster

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// After any sequence of events, the usage of machines and teams is the sum of the requests of
// their attempts, no task is on two machines, and none is both pending and live.
func TestUsageIsTheSumOfAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState([]config.Team{{Name: "team", LimitCPUs: 100}}, config.KVLimits{ValueKB: 8, TxnOps: 12})
		state.SetInstanceTypes([]protocol.InstanceType{{Name: "m", CPUs: 64, MemoryGB: 64, CacheGB: 2}})
		var attempts []*Attempt
		jobs := []*Job{}
		for i, n := range []int{1, 4, 9} {
			jobs = append(jobs, state.NewJob(protocol.JobSpec{
				ID:      "j-00000" + string(rune('0'+i)),
				Team:    "team",
				Tasks:   n,
				Request: units.Resources{CPU: units.Amount(i + 1)},
			}, 0, 0))
		}
		number := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			j := rapid.SampledFrom(jobs).Draw(t, "job")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				number++
				m := state.EnsureMachine(rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "machine"), "m", "a", true, 0)
				if a := state.Assign(j, m, number, 0); a != nil {
					attempts = append(attempts, a)
				}
			case 1:
				if len(attempts) > 0 {
					a := rapid.SampledFrom(attempts).Draw(t, "attempt")
					if a.Job.LiveAttempts[a.Index] == a {
						state.TaskDone(a.Job, a.Index, 0)
						state.RemoveAttempt(a, 0)
					}
				}
			case 2:
				if len(attempts) > 0 {
					state.RemoveAttempt(rapid.SampledFrom(attempts).Draw(t, "attempt"), 0)
				}
			case 3:
				if m := state.Machines["i-1"]; m != nil && rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					state.RemoveMachine(m, 0)
				}
			}
			checkUsage(t, state)
			checkTasks(t, jobs)
		}
	})
}

// checkUsage checks that the usage of each machine and of the team is that of the attempts.
func checkUsage(t *rapid.T, state *State) {
	var team units.Resources
	for _, m := range state.Machines {
		var used units.Resources
		for _, a := range m.Attempts {
			used = used.Plus(a.Job.Spec.Request, 1)
			if a.Job.LiveAttempts[a.Index] != a || a.Job.IsDone(a.Index) {
				t.Fatalf("%s is on %s but done or not live", a.TaskName(), m.ID)
			}
		}
		if used != m.Used {
			t.Fatalf("%s uses %v, counted %v", m.ID, used, m.Used)
		}
		team = team.Plus(used, 1)
	}
	if team != state.Teams["team"].Used {
		t.Fatalf("team uses %v, counted %v", team, state.Teams["team"].Used)
	}
}

// checkTasks checks that each task is either pending, live or done.
func checkTasks(t *rapid.T, jobs []*Job) {
	for _, j := range jobs {
		if j.Pending() < 0 || j.Pending()+len(j.LiveAttempts)+j.DoneCount() != j.Spec.Tasks {
			t.Fatalf("%s: %d pending, %d live, %d done of %d", j.Spec.ID, j.Pending(), len(j.LiveAttempts), j.DoneCount(), j.Spec.Tasks)
		}
	}
}
