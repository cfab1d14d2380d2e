package controller

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/fake"
	"dunestand/internal/sorted"
)

// While machines are unreconciled, a leader's regular check of the fleet costs no
// more for all that the records name: it once gathered every name of every job
// each time, 40 times a second, just after a failover, when there is most to do.
func TestUnreconciledMachinesCostNothing(t *testing.T) {
	allocs := func(jobs, machines int) float64 {
		leader, clock := newLeaderWithJob(t, 1)
		for i := range jobs {
			job := leader.state.NewJob(*fake.JobSpec(fmt.Sprintf("j-%06d", i+2)), clock.Now, clock.Now)
			for k := range machines {
				leader.state.Unreconciled.Mark(job, machineID(k))
			}
		}
		return testing.AllocsPerRun(20, func() { leader.detector.ExpireWorkerLeases(clock.Now) })
	}
	if few, many := allocs(2, 10), allocs(100, 1000); many > few+1 {
		t.Errorf("%v allocations for 100 jobs on 1,000 machines, %v for 2 on 10", many, few)
	}
}

// Each machine that is reconciled is removed from the jobs that name it and from no others;
// the last one leaves nothing unreconciled, whatever became of the jobs meanwhile.
func TestUnreconciledEndsWithMachinesAndJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader, clock := newLeaderWithJob(t, 1)
		state := leader.state
		named := map[string]map[string]bool{}
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			spec := *fake.JobSpec(fmt.Sprintf("j-%06d", i+2))
			job := state.NewJob(spec, clock.Now, clock.Now)
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 12).Draw(rt, "machines") {
				state.Unreconciled.Mark(job, machineID(k))
			}
			named[spec.ID] = job.UnreconciledMachines
		}
		for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(rt, "order") {
			id := machineID(k)
			want := 0
			for _, job := range state.Jobs {
				if len(job.UnreconciledMachines) > 0 {
					want++
				}
			}
			got := 0
			for range state.Unreconciled.Jobs() {
				got++
			}
			if got != want {
				rt.Fatalf("%d jobs unreconciled, %d name machines", got, want)
			}
			if jobs := sorted.Keys(named); len(jobs) > 0 && rapid.Bool().Draw(rt, "a job ends first") {
				state.DropUnaccepted(jobs[0])
				delete(named, jobs[0])
			}
			state.Unreconciled.Resolve(id)
			if state.Unreconciled.Contains(id) {
				rt.Fatal("a reconciled machine is unreconciled")
			}
		}
		if state.Unreconciled.Len() != 0 || len(state.Unreconciled.Machines()) != 0 {
			rt.Fatalf("still unreconciled: %v", state.Unreconciled.Machines())
		}
	})
}
