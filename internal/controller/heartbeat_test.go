package controller

import (
	"errors"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Old and duplicate heartbeats have no effect, and a worker that has seen a later leader's fencing
// token gets no response.
func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	leader, _ := newEmptyLeader(5, units.Second)
	if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", 2, 7, 0), nil); err != nil {
		t.Fatal("new heartbeat rejected")
	}
	for _, old := range []struct{ incarnation, sequence uint64 }{{2, 7}, {2, 6}, {1, 99}} {
		if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", old.incarnation, old.sequence, 0), nil); !errors.Is(err, errStaleHeartbeat) {
			t.Errorf("old heartbeat %d/%d accepted", old.incarnation, old.sequence)
		}
	}
	if machine := leader.state.Machines["i-1"]; machine.Incarnation != 2 || machine.Sequence != 7 {
		t.Errorf("machine at %d/%d", machine.Incarnation, machine.Sequence)
	}
	if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-2", 1, 1, 6), nil); !errors.Is(err, errNotLeader) {
		t.Error("a worker that has seen a later fencing token got a response")
	}
}

// A machine that was restarted shows no token and no tasks. It gets the leader's token and no commands
// until it shows it, so that it gets work again after its next incarnation at the latest.
func TestRestartedMachineGetsTokenWithoutCommands(t *testing.T) {
	leader, _ := newLeaderWithJob(t, 2)
	for sequence := uint64(1); sequence <= 3; sequence++ {
		if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", 1, sequence, 7), nil); err != nil {
			t.Fatal(err)
		}
	}
	response, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", 1, 1, 0), nil)
	if err != nil || response.FencingToken != 7 || len(response.Commands) != 0 {
		t.Errorf("first heartbeat after the restart: %+v, %v", response, err)
	}
	if _, err := leader.Heartbeat(t.Context(), testHeartbeat("i-1", 2, 2, 7), nil); err != nil {
		t.Errorf("heartbeat of the next incarnation: %v", err)
	}
}

// A task may run in two attempts, one of which was started by a former leader and is unknown to this
// one. The first attempt to finish completes the job, which is then removed from the state. Heartbeats
// that still show the other attempt must be handled without the job.
func TestAttemptThatOutlivesItsJobIsRemoved(t *testing.T) {
	leader, clock := newEmptyLeader(2, units.Second)
	state := leader.state
	spec := *fake.JobSpec(testJob)
	spec.Tasks = 1
	job := state.NewJob(spec, clock.Now, clock.Now)
	leader.commitWrites()
	machine := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	attempt := state.Assign(job, machine, 7, clock.Now)
	attempt.Stage = cluster.Running
	state.TaskDone(job, 0, clock.Now) // reported by another machine
	leader.commitWrites()
	if state.Jobs[testJob] != nil {
		t.Fatal("the completed job is still in the state")
	}
	for i, task := range []protocol.TaskStatus{
		{Job: testJob, Attempt: 7, Stage: protocol.TaskFetching},
		{Job: testJob, Attempt: 7, Stage: protocol.TaskRunning},
		{Job: testJob, Attempt: 7, Stage: protocol.TaskExited, Cause: protocol.CauseDone},
	} {
		heartbeat := testHeartbeat(machine.ID, 1, uint64(i+1), 2)
		heartbeat.Tasks = []protocol.TaskStatus{task}
		if _, err := leader.Heartbeat(t.Context(), heartbeat, nil); err != nil {
			t.Fatal("heartbeat rejected")
		}
	}
	if len(machine.Attempts) != 0 || machine.Used != (units.Resources{}) {
		t.Fatalf("attempts left on the machine: %v", machine.Attempts)
	}
}

// A worker gets the command to forget a completed task only once the completion is durable. Otherwise
// a later leader might not learn of the completion and would run the task again.
func TestCompletionsAreForgottenOnlyOnceDurable(t *testing.T) {
	leader, clock := newEmptyLeader(2, units.Second)
	state := leader.state
	job := state.NewJob(*fake.JobSpec(testJob), clock.Now, clock.Now)
	commit := func() {
		state.BatchCommitted(state.BuildWriteBatch("2-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now), 1)
	}
	commit()
	machine := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	attempt := state.Assign(job, machine, 7, clock.Now)
	attempt.Stage = cluster.Running
	job.RetryAt = 1 << 60 // nothing else starts
	sequence := uint64(0)
	forgotten := func() bool {
		sequence++
		heartbeat := testHeartbeat(machine.ID, 1, sequence, 2)
		heartbeat.Tasks = []protocol.TaskStatus{{
			Job:     testJob,
			Index:   attempt.Index,
			Attempt: 7,
			Stage:   protocol.TaskExited,
			Cause:   protocol.CauseDone,
		}}
		response, err := leader.Heartbeat(t.Context(), heartbeat, nil)
		if err != nil {
			t.Fatal("heartbeat rejected")
		}
		return slices.ContainsFunc(response.Commands, func(c protocol.Command) bool { return c.Verb == protocol.VerbForget })
	}
	for range 2 {
		if forgotten() {
			t.Fatal("forgotten before it was durable")
		}
	}
	commit()
	if !forgotten() {
		t.Fatal("not forgotten once it was durable")
	}
}

// A start whose write batch is late is sent only with the next response. With long heartbeat
// intervals that is seconds later, so the response waits longer for the write batch, but always far
// less than the 4 s after which the worker times out.
func TestDurableStartsTimeoutGrowsWithTheHeartbeatInterval(t *testing.T) {
	leader, _ := newLeaderWithJob(t, 1)
	for seconds, want := range map[float64]units.Micros{0.8: 150, 3: 300, 5: 500, 60: 500} {
		leader.Settings.Fleet.Workers.HeartbeatS = seconds
		if got := leader.durableStartsTimeout(); got != want*units.Millisecond {
			t.Errorf("heartbeats every %v s: timeout %d ms", seconds, got/units.Millisecond)
		}
	}
}
