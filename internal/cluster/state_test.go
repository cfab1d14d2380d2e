package cluster

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The usage that the state keeps is that of its attempts, and no task is on two
// machines or both pending and placed, through any order of events.
func TestUsageIsTheSumOfAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState([]config.Team{{Name: "team", CPUsMax: 100}}, config.State{ValueKB: 8, TxnOps: 12})
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
						state.AttemptGone(a, 0)
					}
				}
			case 2:
				if len(attempts) > 0 {
					state.AttemptGone(rapid.SampledFrom(attempts).Draw(t, "attempt"), 0)
				}
			case 3:
				if m := state.Machines["i-1"]; m != nil && rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					state.RemoveMachine(m, 0)
				}
			}
			var team units.Resources
			for _, m := range state.Machines {
				var used units.Resources
				for _, a := range m.Attempts {
					used = used.Plus(a.Job.Spec.Request, 1)
					if a.Job.LiveAttempts[a.Index] != a || a.Job.IsDone(a.Index) {
						t.Fatalf("%s is on %s but not live", a.TaskName(), m.ID)
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
			for _, j := range jobs {
				if j.Pending() < 0 || j.Pending()+len(j.LiveAttempts)+j.DoneCount() != j.Spec.Tasks {
					t.Fatalf("%s: %d pending, %d live, %d done of %d", j.Spec.ID, j.Pending(), len(j.LiveAttempts), j.DoneCount(), j.Spec.Tasks)
				}
			}
		}
	})
}

func TestImagesAreForgottenAsTheCacheDoes(t *testing.T) {
	m := &Machine{ImageCache: 10}
	m.touchImage("a", 4)
	m.touchImage("b", 4)
	m.touchImage("a", 4)
	m.touchImage("c", 4) // b is the one not used for longest
	if !m.HasImage("a") || m.HasImage("b") || !m.HasImage("c") {
		t.Fatalf("holds %v", m.images)
	}
}

// A machine that runs its tasks slower than their siblings elsewhere is detected,
// and does not distort what is known of the job.
func TestSlowMachineIsDetected(t *testing.T) {
	state := NewState(nil, config.State{ValueKB: 8, TxnOps: 12})
	j := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 40}, 0, 0)
	run := func(machine string, length units.Micros) {
		a := state.Assign(j, state.EnsureMachine(machine, "m", "a", true, 0), 1, 0)
		a.Stage, a.RunningSince = Running, units.Second
		state.Outcomes.AttemptCompleted(a, units.Second+length)
		state.TaskDone(j, a.Index, 0)
		state.AttemptGone(a, 0)
	}
	for range 8 {
		run("i-1", 10*units.Second)
	}
	for range 4 {
		run("i-2", 30*units.Second)
	}
	if state.Machines["i-2"].Slow {
		t.Fatal("called slow after four tasks: tasks of one job differ by as much")
	}
	for range 8 {
		run("i-2", 30*units.Second)
	}
	if state.Machines["i-1"].Slow || !state.Machines["i-2"].Slow {
		t.Fatalf("slow: %v %v", state.Machines["i-1"].Slow, state.Machines["i-2"].Slow)
	}
}
