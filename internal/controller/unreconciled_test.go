package controller

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/fake"
	"dunestand/internal/sorted"
)

// The cost of the leader's periodic check of worker leases does not grow with the number of
// unreconciled machines. It once collected the machines that the records of all jobs name, 40 times
// per second, immediately after a failover, when the load is highest.
func TestLeaseCheckCostDoesNotGrowWithUnreconciledMachines(t *testing.T) {
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

// A reconciled machine is no longer unreconciled for any job. Once all machines are reconciled, no
// unreconciled machine is left, also if some of the jobs have ended meanwhile.
func TestNothingIsUnreconciledAfterAllMachinesAreReconciled(t *testing.T) {
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
				rt.Fatalf("%d unreconciled jobs, but %d jobs with unreconciled machines", got, want)
			}
			if jobs := sorted.Keys(named); len(jobs) > 0 && rapid.Bool().Draw(rt, "a job ends first") {
				state.DropUnaccepted(jobs[0])
				delete(named, jobs[0])
			}
			state.Unreconciled.Resolve(id)
			if state.Unreconciled.Contains(id) {
				rt.Fatal("a machine is unreconciled after it was reconciled")
			}
		}
		if state.Unreconciled.Len() != 0 || len(state.Unreconciled.Machines()) != 0 {
			rt.Fatalf("still unreconciled: %v", state.Unreconciled.Machines())
		}
	})
}
