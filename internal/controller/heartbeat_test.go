package controller

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// Old and repeated reports have no effect.
func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	leader := newTestLeader(5, &standin.Clock{Now: units.Second})
	leader.persister.InstallRecords(nil, modelCatalog)
	fresh := &protocol.Heartbeat{Machine: "i-1", InstanceType: "m", Zone: "a", Incarnation: 2, Sequence: 7}
	if _, ok := leader.Heartbeat(t.Context(), fresh, nil); !ok {
		t.Fatal("fresh report refused")
	}
	for _, old := range []protocol.Heartbeat{{Incarnation: 2, Sequence: 7}, {Incarnation: 2, Sequence: 6}, {Incarnation: 1, Sequence: 99}} {
		old.Machine, old.InstanceType, old.Zone = "i-1", "m", "a"
		if _, ok := leader.Heartbeat(t.Context(), &old, nil); ok {
			t.Errorf("old report %d/%d accepted", old.Incarnation, old.Sequence)
		}
	}
	if m := leader.state.Machines["i-1"]; m.Incarnation != 2 || m.Sequence != 7 {
		t.Errorf("machine at %d/%d", m.Incarnation, m.Sequence)
	}
	if _, ok := leader.Heartbeat(t.Context(), &protocol.Heartbeat{
		Machine:      "i-2",
		InstanceType: "m",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     1,
		FencingToken: 6,
	}, nil); ok {
		t.Error("a worker that has seen a later term was answered")
	}
}

// A task that two attempts run, one of a former leader's that nobody knew of,
// ends its job when the first is done. What is then heard of the other must not
// trip over the job that has left the ledger.
func TestAttemptOutlivesItsJob(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(2, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	spec := *modelSpec("j-000001")
	spec.Tasks = 1
	j := state.NewJob(spec, clock.Now, clock.Now)
	commit := func() {
		if batch := state.BuildWriteBatch("2-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now); batch != nil {
			state.BatchCommitted(batch, 1)
		}
	}
	commit()
	m := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := state.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	state.TaskDone(j, 0, clock.Now) // told by another machine
	commit()
	if state.Jobs["j-000001"] != nil {
		t.Fatal("the job is still there")
	}
	for sequence, task := range []protocol.TaskStatus{
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskFetching},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskRunning},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskExited, Cause: protocol.CauseDone},
	} {
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     uint64(sequence + 1),
			FencingToken: 2,
			Tasks:        []protocol.TaskStatus{task},
		}
		if _, ok := leader.Heartbeat(t.Context(), r, nil); !ok {
			t.Fatal("report refused")
		}
	}
	if len(m.Attempts) != 0 || m.Used != (units.Resources{}) {
		t.Fatalf("left on the machine: %v", m.Attempts)
	}
}

// A completion stays with its worker until it is durable: a later leader must
// be able to learn of it, or the task would run once more.
func TestCompletionsAreForgottenOnlyOnceDurable(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(2, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	j := state.NewJob(*modelSpec("j-000001"), clock.Now, clock.Now)
	commit := func() {
		state.BatchCommitted(state.BuildWriteBatch("2-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now), 1)
	}
	commit()
	m := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := state.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	j.RetryAt = 1 << 60 // nothing else starts
	sequence := uint64(0)
	forgotten := func() bool {
		sequence++
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: 2,
			Tasks: []protocol.TaskStatus{
				{
					Job:     "j-000001",
					Index:   a.Index,
					Attempt: 7,
					Stage:   protocol.TaskExited,
					Cause:   protocol.CauseDone,
				}},
		}
		answer, ok := leader.Heartbeat(t.Context(), r, nil)
		if !ok {
			t.Fatal("report refused")
		}
		for _, c := range answer.Commands {
			if c.Verb == protocol.VerbForget {
				return true
			}
		}
		return false
	}
	for range 2 {
		if forgotten() {
			t.Fatal("forgotten before it was saved")
		}
	}
	commit()
	if !forgotten() {
		t.Fatal("not forgotten after it was saved")
	}
}

// A start whose save is a little late goes with the next report, which is seconds
// away where reports come seldom: there the answer waits longer for the save, and
// always far less than the 4 s after which the worker gives up.
func TestHeartbeatAnswersWaitForWritesByTheHeartbeatInterval(t *testing.T) {
	leader, _ := newLeaderWithJob(t, 1)
	for seconds, want := range map[float64]units.Micros{0.8: 150, 3: 300, 5: 500, 60: 500} {
		leader.Settings.Fleet.Workers.ReportS = seconds
		if got := leader.startDurableWait(); got != want*units.Millisecond {
			t.Errorf("reports every %v s: %d ms", seconds, got/units.Millisecond)
		}
	}
}
