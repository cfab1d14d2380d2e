package controller

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Under sustained overload, with jobs of all sizes and several priorities arriving faster than they can
// be run, each job still starts within four minutes. Ordered by rank alone, a job that can no longer
// meet its deadlines would wait behind all jobs that arrive after it.
func TestEveryJobStartsUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, clock := newEmptyLeader(7, 100*units.Second)
		fleet := &overloadedFleet{
			leader:    leader,
			clock:     clock,
			runTimes:  rapid.SliceOfN(rapid.IntRange(2, 8), 20, 20).Draw(t, "run times"),
			endsAt:    map[cluster.AttemptKey]units.Micros{},
			deadlines: map[string]units.Micros{},
		}
		interval := rapid.IntRange(10, 20).Draw(t, "seconds between jobs")
		for step := range 400 {
			clock.Now += units.Second
			if step%interval == 0 {
				fleet.submit(t, fmt.Sprintf("j-%06d", step))
			}
			for machine := range 2 {
				fleet.exchange(machine, step)
			}
			for id, deadline := range fleet.deadlines {
				if clock.Now > deadline {
					t.Fatalf("%s, with %d CPUs per task, has not started within four minutes", id, leader.state.Jobs[id].Spec.Request.CPU/1_000_000)
				}
			}
		}
	})
}

// overloadedFleet simulates the workers of a fleet that gets more jobs than it can run.
type overloadedFleet struct {
	leader    *Leader
	clock     *fake.Clock
	runTimes  []int // in seconds; the attempt number selects one
	endsAt    map[cluster.AttemptKey]units.Micros
	deadlines map[string]units.Micros // time by which a job must start, for jobs that have not started
}

// submit adds a job that must start within four minutes.
func (f *overloadedFleet) submit(t *rapid.T, id string) {
	spec := *fake.JobSpec(id)
	spec.Tasks = rapid.IntRange(40, 90).Draw(t, "tasks")
	spec.Request = fake.CPUs(rapid.IntRange(1, 3).Draw(t, "cpus"))
	spec.Priority = protocol.Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
	spec.Estimate = 5 * units.Second
	f.leader.state.NewJob(spec, f.clock.Now, f.clock.Now)
	f.deadlines[id] = f.clock.Now + 240*units.Second
	f.leader.commitWrites()
}

// exchange has a machine send the heartbeat of a step. In every third step the leader runs a whole
// scheduling cycle, otherwise it only places tasks on that machine.
func (f *overloadedFleet) exchange(machineIndex, step int) {
	leader, now := f.leader, f.clock.Now
	heartbeat := testHeartbeat(machineID(machineIndex), 1, uint64(step+1), 7)
	if machine := leader.state.Machines[heartbeat.Machine]; machine != nil {
		heartbeat.Tasks = f.taskStatuses(machine)
	}
	machine := leader.reconciler.Reconcile(heartbeat, now)
	if step%3 == 0 {
		leader.scheduler.RunCycle(now, machine)
	} else {
		leader.scheduler.PlaceOnMachine(machine, now)
	}
	leader.commitWrites()
	leader.reconciler.Commands(machine, heartbeat, now)
	for _, attempt := range machine.SortedAttempts() {
		key := attemptKey(attempt)
		if attempt.Stage != cluster.Assigned && f.endsAt[key] == 0 {
			f.endsAt[key] = now + units.Second*units.Micros(f.runTimes[int(attempt.Number)%len(f.runTimes)])
			delete(f.deadlines, key.Job)
		}
	}
}

// taskStatuses returns the statuses of the attempts whose starts were sent to a machine.
func (f *overloadedFleet) taskStatuses(machine *cluster.Machine) []protocol.TaskStatus {
	var statuses []protocol.TaskStatus
	for _, attempt := range machine.SortedAttempts() {
		if attempt.Stage == cluster.Assigned {
			continue
		}
		status := runningStatus(attempt)
		if attempt.Stopping || f.clock.Now >= f.endsAt[attemptKey(attempt)] {
			status.Stage, status.Cause = protocol.TaskExited, protocol.CauseDone
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func attemptKey(attempt *cluster.Attempt) cluster.AttemptKey {
	return cluster.AttemptKey{Job: attempt.Job.Spec.ID, Index: attempt.Index, Number: attempt.Number}
}

// When more changes are due than fit into a write batch, those that users wait for are written first.
func TestUserRequestsAreWrittenFirst(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	for i := range 40 {
		leader.state.NewJob(*fake.JobSpec(fmt.Sprintf("j-%06d", i+2)), clock.Now, clock.Now)
	}
	leader.commitWrites()
	for _, job := range leader.state.Jobs {
		leader.state.TaskDone(job, 0, clock.Now)
		job.MarkChanged(clock.Now, true)
	}
	clock.Now += units.Second
	leader.state.NewJob(*fake.JobSpec("j-000100"), clock.Now, clock.Now)
	leader.cancelJob(leader.state.Jobs["j-000030"])
	batch := leader.state.BuildWriteBatch("x", leader.persister.BucketVersions(), cluster.BatchLimits{}, clock.Now)
	if first := batch.JobIDs()[:2]; !slices.Contains(first, "j-000100") || !slices.Contains(first, "j-000030") {
		t.Errorf("first in the write batch: %v", first)
	}
}
