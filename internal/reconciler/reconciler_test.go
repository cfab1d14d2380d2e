package reconciler

import (
	"io"
	"log/slog"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/failuredetector"
	"dunestand/internal/fake"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

const (
	testToken   = 7
	testMachine = "i-000001"
	testNow     = 100 * units.Second
)

// newTestReconciler returns a reconciler and a job with two pending tasks, whose record is durable.
func newTestReconciler(t *testing.T) (*Reconciler, *cluster.Job) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := fake.Settings()
	state := cluster.NewState(settings.Fleet.Teams, settings.Fleet.KVLimits)
	rc := New(Deps{
		State:       state,
		Detector:    failuredetector.New(failuredetector.Deps{State: state, Settings: settings, Log: log}),
		Log:         log,
		Metrics:     telemetry.NewMetrics().Reconciliation,
		Token:       testToken,
		WriteSignal: loop.NewSignal(),
		CycleSignal: loop.NewSignal(),
	})
	spec := *fake.JobSpec("j-000001")
	job := state.NewJob(spec, testNow, testNow)
	commit(state)
	return rc, job
}

// commit makes all pending changes of the state durable.
func commit(state *cluster.State) {
	batch := state.BuildWriteBatch("7-1", make([]uint64, storage.Buckets), cluster.BatchLimits{Background: true}, testNow)
	if batch != nil {
		state.BatchCommitted(batch, 1)
	}
}

// heartbeat returns a heartbeat of the test machine that shows the leader's fencing token.
func heartbeat(incarnation, sequence uint64, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      testMachine,
		InstanceType: "m",
		Zone:         "a",
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: testToken,
		Tasks:        tasks,
	}
}

func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		applied               bool
	}{
		{"repeated", 2, 5, false},
		{"earlier", 2, 4, false},
		{"of an earlier incarnation", 1, 9, false},
		{"next", 2, 6, true},
		{"of a new incarnation", 3, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rc, _ := newTestReconciler(t)
			rc.Reconcile(heartbeat(2, 5), testNow)
			if m := rc.Reconcile(heartbeat(c.incarnation, c.sequence), testNow+units.Second); (m != nil) != c.applied {
				t.Errorf("applied: %v, want %v", m != nil, c.applied)
			}
		})
	}
}

// Only a heartbeat that shows the leader's fencing token reconciles a machine: any other may be a
// delayed duplicate from the time of a former leader.
func TestMachineIsReconciledByTheLeadersToken(t *testing.T) {
	rc, job := newTestReconciler(t)
	rc.State.Unreconciled.Mark(job, testMachine)
	earlier := heartbeat(1, 1)
	earlier.FencingToken = testToken - 1
	if rc.Reconcile(earlier, testNow); !rc.State.Unreconciled.Contains(testMachine) {
		t.Fatal("reconciled by a former leader's token")
	}
	if rc.Reconcile(heartbeat(1, 2), testNow); rc.State.Unreconciled.Contains(testMachine) {
		t.Error("not reconciled by the leader's token")
	}
}

// A machine whose lease has expired may hang with its tasks. Only a heartbeat that shows the leader's
// token proves that it does not: any other may be a delayed duplicate.
func TestExpiredMachineIsHeardByTheLeadersToken(t *testing.T) {
	rc, job := newTestReconciler(t)
	job.Cancel(testNow, testNow)
	rc.State.Expired.Mark(job, testMachine)
	earlier := heartbeat(1, 1)
	earlier.FencingToken = testToken - 1
	if rc.Reconcile(earlier, testNow); !rc.State.HoldsCancelled(testMachine) {
		t.Fatal("proven not to hang by a former leader's token")
	}
	if rc.Reconcile(heartbeat(1, 2), testNow); rc.State.HoldsCancelled(testMachine) || job.MayHoldTasks() {
		t.Error("not proven to be without tasks by the leader's token")
	}
}

// A machine that was restarted begins anew with its incarnation, its sequence and its token. Copies of
// heartbeats from before then have later numbers, but they show a lower token and no task that runs
// since. They once made the leader start these tasks elsewhere as well.
func TestHeartbeatFromBeforeRestartHidesNoTask(t *testing.T) {
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
	}{
		{"later sequence", 1, 50},
		{"later incarnation", 3, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			rc, job := newTestReconciler(t)
			m := rc.Reconcile(heartbeat(1, 2), testNow)
			attempt := rc.State.Assign(job, m, rc.State.NextAttempt(testToken), testNow)
			commit(rc.State)
			rc.Commands(m, heartbeat(1, 2), testNow)
			early := heartbeat(c.incarnation, c.sequence)
			early.FencingToken = testToken - 1
			if rc.Reconcile(early, testNow) != nil || len(m.Attempts) != 1 || attempt.Stage != cluster.Sent {
				t.Error("the copy has an effect")
			}
			if !rc.MissesToken(early) || rc.MissesToken(heartbeat(1, 3)) {
				t.Error("a heartbeat misses the token if and only if it shows a lower one than before")
			}
			early.Tasks = []protocol.TaskStatus{{Job: job.Spec.ID, Attempt: 1, Stage: protocol.TaskRunning}}
			if rc.MissesToken(early) {
				t.Error("the lease of a running task would be renewed")
			}
		})
	}
}

// A heartbeat that shows a higher token than the last one comes from a machine that was restarted if its
// sequence is lower. Its earlier tasks are gone.
func TestHeartbeatWithHigherTokenAndLowerSequenceShowsRestart(t *testing.T) {
	rc, job := newTestReconciler(t)
	early := heartbeat(1, 50, protocol.TaskStatus{Job: job.Spec.ID, Attempt: 1, Stage: protocol.TaskRunning})
	early.FencingToken = testToken - 1
	if m := rc.Reconcile(early, testNow); len(m.Attempts) != 1 {
		t.Fatal("the attempt is not adopted")
	}
	if m := rc.Reconcile(heartbeat(1, 2), testNow); m == nil || len(m.Attempts) != 0 {
		t.Error("the attempt from before the restart still counts")
	}
}

// A start is sent only after a record that names its machine is durable, and only once.
func TestStartIsSentOnceItsMachineNameIsDurable(t *testing.T) {
	rc, job := newTestReconciler(t)
	m := rc.Reconcile(heartbeat(1, 1), testNow)
	attempt := rc.State.Assign(job, m, rc.State.NextAttempt(testToken), testNow)
	if commands := rc.Commands(m, heartbeat(1, 1), testNow); len(commands) != 0 {
		t.Fatalf("sent before the write: %+v", commands)
	}
	if rc.PendingStartWrite(m) == nil {
		t.Error("no pending write reported before the commit")
	}
	commit(rc.State)
	commands := rc.Commands(m, heartbeat(1, 1), testNow)
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStart || commands[0].Attempt != attempt.Number {
		t.Fatalf("sent after the write: %+v", commands)
	}
	if rc.PendingStartWrite(m) != nil {
		t.Error("pending write reported after the commit")
	}
	if commands := rc.Commands(m, heartbeat(1, 1), testNow); len(commands) != 0 {
		t.Errorf("sent again: %+v", commands)
	}
}

// Each reported task gets the command that its state requires, if any.
func TestReportedTaskGetsStopForgetOrNoCommand(t *testing.T) {
	for _, c := range []struct {
		name    string
		task    protocol.TaskStatus
		durable bool
		want    protocol.Verb // "" for no command
	}{
		{"unknown job", protocol.TaskStatus{Job: "j-000009", Attempt: 1, Stage: protocol.TaskRunning}, false, protocol.VerbStop},
		{"adopted", protocol.TaskStatus{Job: "j-000001", Attempt: 1, Stage: protocol.TaskRunning}, false, ""},
		{"failed", protocol.TaskStatus{Job: "j-000001", Attempt: 1, Stage: protocol.TaskExited, Cause: protocol.CauseError}, false, protocol.VerbForget},
		{"done", protocol.TaskStatus{Job: "j-000001", Attempt: 1, Stage: protocol.TaskExited, Cause: protocol.CauseDone}, false, ""},
		{"done durably", protocol.TaskStatus{Job: "j-000001", Attempt: 1, Stage: protocol.TaskExited, Cause: protocol.CauseDone}, true, protocol.VerbForget},
	} {
		t.Run(c.name, func(t *testing.T) {
			rc, _ := newTestReconciler(t)
			h := heartbeat(1, 1, c.task)
			m := rc.Reconcile(h, testNow)
			if c.durable {
				commit(rc.State)
			}
			commands := rc.Commands(m, h, testNow)
			if c.want == "" {
				if len(commands) != 0 {
					t.Errorf("commands %+v, want none", commands)
				}
				return
			}
			if len(commands) != 1 || commands[0].Verb != c.want {
				t.Errorf("commands %+v, want %s", commands, c.want)
			}
		})
	}
}

// A machine that refuses a start for lack of capacity is blocked for noCapacityBackoff, and the task
// is pending again.
func TestRefusedStartBlocksTheMachine(t *testing.T) {
	rc, job := newTestReconciler(t)
	m := rc.Reconcile(heartbeat(1, 1), testNow)
	attempt := rc.State.Assign(job, m, rc.State.NextAttempt(testToken), testNow)
	refused := protocol.TaskStatus{Job: job.Spec.ID, Index: attempt.Index, Attempt: attempt.Number, Stage: protocol.TaskExited, Cause: protocol.CauseNoCapacity}
	rc.Reconcile(heartbeat(1, 2, refused), testNow)
	if m.BlockedUntil != testNow+noCapacityBackoff {
		t.Errorf("blocked until %d, want testNow plus noCapacityBackoff", m.BlockedUntil)
	}
	if len(m.Attempts) != 0 || job.Pending() != 2 {
		t.Errorf("%d attempts and %d tasks pending, want 0 and 2", len(m.Attempts), job.Pending())
	}
}

// A machine counts as unresponsive after MaxUndeliveredCommands consecutive responses without effect.
func TestMachineThatIgnoresStartsIsUnresponsive(t *testing.T) {
	rc, job := newTestReconciler(t)
	m := rc.Reconcile(heartbeat(1, 1), testNow)
	sequence := uint64(1)
	for range cluster.MaxUndeliveredCommands {
		if m.IgnoresCommands() {
			t.Fatal("unresponsive before the limit of undelivered commands")
		}
		rc.State.Assign(job, m, rc.State.NextAttempt(testToken), testNow)
		commit(rc.State)
		rc.Commands(m, heartbeat(1, sequence), testNow)
		sequence++
		rc.Reconcile(heartbeat(1, sequence), testNow)
	}
	if !m.IgnoresCommands() {
		t.Fatal("not unresponsive at the limit of undelivered commands")
	}
	// The machine keeps its incarnation for longer than its lease, so it receives responses.
	sequence++
	if rc.Reconcile(heartbeat(1, sequence), testNow+20*units.Second); m.IgnoresCommands() {
		t.Error("still unresponsive though it keeps its incarnation")
	}
}
