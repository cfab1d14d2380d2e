package controller

import (
	"fmt"
	"runtime"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// While much waits, rounds come every 25 ms. Going over the whole fleet for what has
// passed its time is not needed as often.
func TestTimeoutsAreCheckedFourTimesASecond(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	leader.lastSummary = clock.Now + units.Second // this term has no state service to count requests of
	checks := 0
	for range 40 {
		clock.Now += scheduler.MinCycleInterval
		before := leader.lastTimeoutCheck
		leader.checkTimeouts(clock.Now)
		if leader.lastTimeoutCheck != before {
			checks++
		}
	}
	if checks != 4 {
		t.Errorf("%d checks within a second", checks)
	}
}

// The jobs that a controller takes are bounded by its memory. What one is reckoned to
// take must leave room for everything else.
func TestJobsAtTheBoundLeaveRoom(t *testing.T) {
	const mostTaken = 0.5 // of what is reckoned
	for _, c := range []struct{ jobs, tasks int }{{400, 1}, {400, 3000}, {20, protocol.MaxTasks}} {
		leader, clock := newLeaderWithJob(t, 1)
		before, reckonedBefore := heapInUse(), leader.state.Memory()
		for i := range c.jobs {
			spec := *modelSpec(fmt.Sprintf("j-%06d", i+100))
			spec.Tasks = c.tasks
			job := leader.state.NewJob(spec, clock.Now, clock.Now)
			for index := range c.tasks / 2 {
				leader.state.TaskDone(job, 2*index, clock.Now)
			}
		}
		writeAllRecords(leader)
		taken, reckoned := float64(heapInUse()-before), float64(leader.state.Memory()-reckonedBefore)
		if taken > reckoned*mostTaken {
			t.Errorf("%d jobs of %d tasks take %.0f bytes, reckoned are %.0f", c.jobs, c.tasks, taken, reckoned)
		}
		runtime.KeepAlive(leader)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// One report, the end of one task and one save cost the same however many
// machines and jobs there are besides: a leader of a thousand machines takes in
// hundreds of reports a second.
func TestOneStepCostsTheSameInALargeFleet(t *testing.T) {
	steps := func(machines int) map[string]float64 {
		leader, heartbeats := newBusyLeader(machines)
		i := 0
		next := func() *protocol.Heartbeat {
			i++
			r := heartbeats[i%len(heartbeats)]
			r.Sequence += 10
			return r
		}
		done := 0
		return map[string]float64{
			"report": testing.AllocsPerRun(100, func() {
				r := next()
				leader.reconciler.Commands(leader.reconciler.Reconcile(r, units.Second), r, units.Second)
			}),
			"end of a task": testing.AllocsPerRun(100, func() {
				m := leader.state.Machines[next().Machine]
				leader.state.AttemptGone(m.SortedAttempts()[0], units.Second)
				leader.scheduler.PlaceOnMachine(m, units.Second)
			}),
			"save": testing.AllocsPerRun(100, func() {
				done++
				j := leader.state.Jobs["j-000299"]
				leader.state.TaskDone(j, done, units.Second)
				j.MarkChanged(units.Second, true)
				s := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{}, units.Second)
				leader.state.BatchCommitted(s, 1)
			}),
		}
	}
	small, large := steps(20), steps(240)
	for step, allocs := range large {
		if allocs > 1.6*small[step] {
			t.Errorf("%s: %v allocations on 20 machines, %v on 240", step, small[step], allocs)
		}
	}
}

// A report that shows nothing new is compared with the ledger hundreds of times a
// second on a small machine: it leaves nothing for the collector, however many tasks
// the machine has and whatever would be logged of them.
func TestUnchangedHeartbeatAllocatesNothing(t *testing.T) {
	leader, heartbeats := newBusyLeader(20)
	r := heartbeats[0]
	if len(r.Tasks) < 10 {
		t.Fatalf("the machine has only %d tasks", len(r.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		r.Sequence++
		m := leader.reconciler.Reconcile(r, units.Second)
		if out := leader.reconciler.Commands(m, r, units.Second); len(out) > 0 {
			t.Errorf("commands for nothing new: %v", out)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations", allocs)
	}
}
