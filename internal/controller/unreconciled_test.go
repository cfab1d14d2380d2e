package controller

import (
	"dunestand/internal/sorted"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// While machines are unconfirmed, a leader's regular look at the fleet costs no
// more for all that the records name: it once gathered every name of every job
// each time, 40 times a second, when a term begins and there is most to do.
func TestUnreconciledMachinesCostNothing(t *testing.T) {
	allocs := func(jobs, machines int) float64 {
		term, clock := leaderWithJob(t, 1)
		for i := range jobs {
			j := term.state.NewJob(*modelSpec(fmt.Sprintf("j-%06d", i+2)), clock.Now, clock.Now)
			for k := range machines {
				term.state.Unreconciled.Mark(j, fmt.Sprintf("i-%06d", k))
			}
		}
		return testing.AllocsPerRun(20, func() { term.detector.ExpireLeases(clock.Now) })
	}
	if few, many := allocs(2, 10), allocs(100, 1000); many > few+1 {
		t.Errorf("%v allocations for 100 jobs on 1,000 machines, %v for 2 on 10", many, few)
	}
}

// Each machine that is confirmed is struck off the jobs that name it and no others;
// the last one leaves nothing unconfirmed, whatever became of the jobs meanwhile.
func TestUnreconciledEndsWithMachinesAndJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		term, clock := leaderWithJob(t, 1)
		l := term.state
		named := map[string]map[string]bool{}
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			spec := *modelSpec(fmt.Sprintf("j-%06d", i+2))
			j := l.NewJob(spec, clock.Now, clock.Now)
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 12).Draw(rt, "machines") {
				l.Unreconciled.Mark(j, fmt.Sprintf("i-%06d", k))
			}
			named[spec.ID] = j.UnreconciledMachines
		}
		for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(rt, "order") {
			id := fmt.Sprintf("i-%06d", k)
			want := 0
			for _, j := range l.Jobs {
				if len(j.UnreconciledMachines) > 0 {
					want++
				}
			}
			got := 0
			for range l.Unreconciled.Jobs() {
				got++
			}
			if got != want {
				rt.Fatalf("%d jobs unconfirmed, %d name machines", got, want)
			}
			if jobs := sorted.Keys(named); len(jobs) > 0 && rapid.Bool().Draw(rt, "a job ends first") {
				l.DropUnaccepted(jobs[0])
				delete(named, jobs[0])
			}
			l.Unreconciled.Resolve(id)
			if l.Unreconciled.Contains(id) {
				rt.Fatal("a confirmed machine is unconfirmed")
			}
		}
		if l.Unreconciled.Len() != 0 || len(l.Unreconciled.Machines()) != 0 {
			rt.Fatalf("still unreconciled: %v", l.Unreconciled.Machines())
		}
	})
}
