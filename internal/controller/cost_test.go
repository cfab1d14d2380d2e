package controller

import (
	"fmt"
	"runtime"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// Under load, scheduling cycles run every 25 ms. Timeouts are checked less often, since each check
// iterates over the whole fleet.
func TestTimeoutsAreCheckedFourTimesASecond(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	leader.lastSummary = clock.Now + units.Second // no summary: it would need a key-value store client
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
		t.Errorf("%d checks in a second, want 4", checks)
	}
}

// A controller accepts jobs up to a limit on their estimated memory. The jobs must take
// at most half of the estimate, so that the other half is left for everything else.
func TestJobsTakeAtMostHalfOfTheirEstimatedMemory(t *testing.T) {
	const maxShare = 0.5 // of the estimated memory
	for _, c := range []struct{ jobs, tasks int }{{400, 1}, {400, 3000}, {20, protocol.MaxTasks}} {
		leader, clock := newLeaderWithJob(t, 1)
		heapBefore, estimateBefore := heapInUse(), leader.state.EstimatedMemory()
		for i := range c.jobs {
			spec := *fake.JobSpec(fmt.Sprintf("j-%06d", i+100))
			spec.Tasks = c.tasks
			job := leader.state.NewJob(spec, clock.Now, clock.Now)
			for index := range c.tasks / 2 {
				leader.state.TaskDone(job, 2*index, clock.Now)
			}
		}
		writeAllRecords(leader)
		taken, estimate := float64(heapInUse()-heapBefore), float64(leader.state.EstimatedMemory()-estimateBefore)
		if taken > estimate*maxShare {
			t.Errorf("%d jobs of %d tasks take %.0f bytes, the estimate is %.0f", c.jobs, c.tasks, taken, estimate)
		}
		runtime.KeepAlive(leader)
	}
}

// heapInUse returns the heap memory in use after a garbage collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The cost of a heartbeat, of the end of a task and of a write batch does not grow with the number
// of machines and jobs: a leader of a thousand machines handles hundreds of heartbeats per second.
func TestStepCostDoesNotGrowWithTheFleet(t *testing.T) {
	steps := func(machines int) map[string]float64 {
		leader, heartbeats := newBusyLeader(machines)
		i := 0
		next := func() *protocol.Heartbeat {
			i++
			heartbeat := heartbeats[i%len(heartbeats)]
			heartbeat.Sequence += 10
			return heartbeat
		}
		done := 0
		return map[string]float64{
			"heartbeat": testing.AllocsPerRun(100, func() {
				heartbeat := next()
				leader.reconciler.Commands(leader.reconciler.Reconcile(heartbeat, units.Second), heartbeat, units.Second)
			}),
			"end of a task": testing.AllocsPerRun(100, func() {
				machine := leader.state.Machines[next().Machine]
				leader.state.RemoveAttempt(machine.SortedAttempts()[0], units.Second)
				leader.scheduler.PlaceOnMachine(machine, units.Second)
			}),
			"write batch": testing.AllocsPerRun(100, func() {
				done++
				job := leader.state.Jobs["j-000299"]
				leader.state.TaskDone(job, done, units.Second)
				job.MarkChanged(units.Second, true)
				batch := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{}, units.Second)
				leader.state.BatchCommitted(batch, 1)
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

// A leader on a small machine reconciles hundreds of unchanged heartbeats per second. They leave no
// garbage to collect, whatever the number of tasks and whatever is logged at disabled levels.
func TestUnchangedHeartbeatAllocatesNothing(t *testing.T) {
	leader, heartbeats := newBusyLeader(20)
	heartbeat := heartbeats[0]
	if len(heartbeat.Tasks) < 10 {
		t.Fatalf("the machine has only %d tasks", len(heartbeat.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		machine := leader.reconciler.Reconcile(heartbeat, units.Second)
		if commands := leader.reconciler.Commands(machine, heartbeat, units.Second); len(commands) > 0 {
			t.Errorf("commands for an unchanged heartbeat: %v", commands)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations per heartbeat", allocs)
	}
}
