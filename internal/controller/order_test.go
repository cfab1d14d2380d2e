package controller

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/units"
)

// Under an overload that goes on, with jobs of all sizes and priorities coming
// faster than they can be served, each job still begins within four minutes.
// By the order alone what is late waits behind all that comes after it.
func TestEveryJobBeginsUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &standin.Clock{Now: 100 * units.Second}
		leader := newTestLeader(7, clock)
		leader.persister.InstallRecords(nil, modelCatalog)
		due := map[string]units.Micros{}
		ends := map[cluster.AttemptKey]units.Micros{}
		lasts := rapid.SliceOfN(rapid.IntRange(2, 8), 20, 20).Draw(t, "run times")
		every := rapid.IntRange(10, 20).Draw(t, "seconds between jobs")
		for step := range 400 {
			clock.Now += units.Second
			if step%every == 0 {
				spec := *modelSpec(fmt.Sprintf("j-%06d", step))
				spec.Tasks = rapid.IntRange(40, 90).Draw(t, "tasks")
				spec.Request = standin.CPUs(rapid.IntRange(1, 3).Draw(t, "cpus"))
				spec.Priority = protocol.Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
				spec.Estimate = 5 * units.Second
				leader.state.NewJob(spec, clock.Now, clock.Now)
				due[spec.ID] = clock.Now + 240*units.Second
				leader.commitWrites()
			}
			for i := range 2 {
				r := testHeartbeat(fmt.Sprintf("i-%06d", i), 1, uint64(step+1), 7)
				if m := leader.state.Machines[r.Machine]; m != nil {
					for _, a := range m.SortedAttempts() {
						if a.Stage == cluster.Assigned {
							continue
						}
						key := cluster.AttemptKey{Job: a.Job.Spec.ID, Index: a.Index, Number: a.Number}
						task := protocol.TaskStatus{
							Job:     key.Job,
							Index:   key.Index,
							Attempt: key.Number,
							Stage:   protocol.TaskRunning,
						}
						if a.Stopping || clock.Now >= ends[key] {
							task.Stage, task.Cause = protocol.TaskExited, protocol.CauseDone
						}
						r.Tasks = append(r.Tasks, task)
					}
				}
				m := leader.reconciler.Reconcile(r, clock.Now)
				if step%3 == 0 {
					leader.scheduler.RunCycle(clock.Now, m)
				} else {
					leader.scheduler.PlaceOnMachine(m, clock.Now)
				}
				leader.commitWrites()
				leader.reconciler.Commands(m, r, clock.Now)
				for _, a := range m.SortedAttempts() {
					key := cluster.AttemptKey{Job: a.Job.Spec.ID, Index: a.Index, Number: a.Number}
					if a.Stage != cluster.Assigned && ends[key] == 0 {
						ends[key] = clock.Now + units.Second*units.Micros(lasts[int(a.Number)%len(lasts)])
						delete(due, key.Job)
					}
				}
			}
			for id, at := range due {
				if clock.Now > at {
					t.Fatalf("%s of %d processors a task has not begun in four minutes", id, leader.state.Jobs[id].Spec.Request.CPU/1_000_000)
				}
			}
		}
	})
}

// When more is to be written than may be, what a user waits for goes first.
func TestUserRequestsAreWrittenFirst(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	for i := range 40 {
		leader.state.NewJob(*modelSpec(fmt.Sprintf("j-%06d", i+2)), clock.Now, clock.Now)
	}
	leader.commitWrites()
	for _, j := range leader.state.Jobs {
		leader.state.TaskDone(j, 0, clock.Now)
		j.MarkChanged(clock.Now, true)
	}
	clock.Now += units.Second
	leader.state.NewJob(*modelSpec("j-000100"), clock.Now, clock.Now)
	leader.cancelJob(leader.state.Jobs["j-000030"])
	s := leader.state.BuildWriteBatch("x", leader.persister.BucketVersions(), cluster.BatchLimits{}, clock.Now)
	if first := s.JobIDs()[:2]; !slices.Contains(first, "j-000100") || !slices.Contains(first, "j-000030") {
		t.Errorf("saved first: %v", first)
	}
}
