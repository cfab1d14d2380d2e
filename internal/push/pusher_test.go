package push

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	testToken = 7
	testNow   = 100 * units.Second
)

// newTestPusher returns a pusher, a machine that sent a heartbeat at testNow, and an attempt that is
// assigned to the machine and belongs to a job with two tasks.
func newTestPusher(t *testing.T) (*CommandPusher, *cluster.Machine, *cluster.Attempt) {
	t.Helper()
	settings := &config.Settings{Fleet: config.Fleet{
		Workers:  config.Workers{HeartbeatS: 4, LeaseS: 20, CancelS: 21},
		KVLimits: config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
	}}
	state := cluster.NewState(nil, settings.Fleet.KVLimits)
	m := state.EnsureMachine("i-000001", "m", "a", false, testNow)
	m.Endpoint, m.FencingToken, m.LastHeartbeat = "10.0.0.1:80", testToken, testNow
	job := state.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 2, Request: fake.CPUs(1)}, testNow, testNow)
	attempt := state.Assign(job, m, state.NextAttempt(testToken), testNow)
	return NewCommandPusher(CommandPusherDeps{
		State:      state,
		Leadership: &fake.Leadership{FencingToken: testToken},
		Settings:   settings,
		Token:      testToken,
	}), m, attempt
}

// A push is requested only for a machine with a known endpoint whose next heartbeat is not due within
// minPushLead.
func TestPushIsRequestedUnlessHeartbeatIsDueSoon(t *testing.T) {
	for _, c := range []struct {
		name     string
		endpoint string
		since    units.Micros // time since the last heartbeat
		want     int
	}{
		{"far", "10.0.0.1:80", 0, 1},
		{"near", "10.0.0.1:80", 3 * units.Second, 0},
		{"unknown endpoint", "", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, m, _ := newTestPusher(t)
			m.Endpoint = c.endpoint
			p.RequestPush(m, nil, testNow+c.since)
			if got := p.TakeRequests(); len(got) != c.want {
				t.Errorf("%d requests, want %d", len(got), c.want)
			}
			if got := p.TakeRequests(); len(got) != 0 {
				t.Errorf("%d requests taken twice", len(got))
			}
		})
	}
}

// checkPushedCommands checks that pushed commands, if there are any, start no task that a job with the
// given number of tasks has. A push can reach a machine once more after it was carried out, and would
// start the task a second time if the machine has forgotten the attempt by then or was restarted.
func checkPushedCommands(t *testing.T, body []byte, tasks int) {
	t.Helper()
	if body == nil {
		return
	}
	var push protocol.DirectCommands
	if err := protocol.Decode(body, &push); err != nil {
		t.Fatal(err)
	}
	for _, command := range push.Commands {
		if command.Verb == protocol.VerbStart && command.Task != protocol.TaskName("j-000001", tasks) {
			t.Errorf("start of %s is pushed", command.Task)
		}
	}
}

// Stops are pushed for running tasks that are no longer wanted, and a wake command for a machine that
// has a start waiting. Starts themselves are never pushed.
func TestOnlyStopsAndWakeCommandsArePushed(t *testing.T) {
	for _, c := range []struct {
		name              string
		stage             cluster.AttemptStage
		stopping, cancel  bool
		wake, otherLeader bool
		want              bool
	}{
		{name: "assigned", stage: cluster.Assigned},
		{name: "running", stage: cluster.Running},
		{name: "stopping", stage: cluster.Running, stopping: true, want: true},
		{name: "stopping and checkpointing", stage: cluster.Checkpointing, stopping: true},
		{name: "cancelled", stage: cluster.Sent, cancel: true, want: true},
		{name: "cancelled and assigned", stage: cluster.Assigned, cancel: true},
		{name: "waiting start", stage: cluster.Assigned, wake: true, want: true},
		{name: "machine of another leader", stage: cluster.Running, stopping: true, otherLeader: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, m, attempt := newTestPusher(t)
			attempt.Stage, attempt.Stopping, attempt.Job.Cancelled = c.stage, c.stopping, c.cancel
			if c.otherLeader {
				m.FencingToken--
			}
			var jobToStart *cluster.Job
			if c.wake {
				jobToStart = attempt.Job
			}
			endpoint, body := p.Commands(m.ID, jobToStart)
			if (body != nil) != c.want {
				t.Fatalf("commands: %v, want %v", body != nil, c.want)
			}
			if c.want && endpoint != m.Endpoint {
				t.Errorf("sent to %q", endpoint)
			}
			checkPushedCommands(t, body, attempt.Job.Spec.Tasks)
		})
	}
}
