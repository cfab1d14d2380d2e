package controller

import (
	"maps"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// A replica that exits is restarted, whether it succeeded or failed, and the service is never
// considered done, not even when a duplicate of an older heartbeat arrives late. The replicas are
// spread over the zones at every start.
func TestReplicasAreRestarted(t *testing.T) {
	leader, _, fleet := newServiceLeader(t, 4, true)
	fleet.exchangeAll()
	if fleet.runningReplicas() != 4 || fleet.replicasByZone()["a"] != 2 {
		t.Fatalf("%d replicas run, by zone %v", fleet.runningReplicas(), fleet.replicasByZone())
	}
	for range 30 {
		fleet.exchangeAll()
	}
	on, _ := fleet.findReplica(testJob, 2)
	late := *fleet.machines[on]
	late.Tasks = slices.Clone(late.Tasks)
	for i, cause := range []protocol.ExitCause{protocol.CauseDone, protocol.CauseError, protocol.CauseDone, protocol.CauseDone} {
		fleet.exitReplica(i, cause)
	}
	fleet.exchangeAll()
	leader.reconciler.Reconcile(&late, fleet.clock.Now)
	fleet.exchangeAll()
	fleet.exchangeAll()
	if fleet.runningReplicas() != 4 || fleet.replicasByZone()["a"] != 2 || fleet.started != 8 {
		t.Errorf("%d replicas run, by zone %v, %d were started", fleet.runningReplicas(), fleet.replicasByZone(), fleet.started)
	}
	job := leader.state.Jobs[testJob]
	if job.Complete() || job.DoneCount() != 0 || job.IsDone(0) {
		t.Error("the service is considered done")
	}
	if state := decodeState(t, leader.Poll(t.Context(), testJob)); state.Stage != protocol.StageRunning {
		t.Errorf("poll: stage %s, want running", state.Stage)
	}
}

// A replica that keeps exiting is restarted with growing delays. One that has run for a while is
// restarted at once.
func TestReplicasThatKeepExitingAreRestartedWithBackoff(t *testing.T) {
	leader, _, fleet := newServiceLeader(t, 1, false)
	for range 120 {
		fleet.exchangeAll()
		if on, _ := fleet.findReplica(testJob, 0); on != "" {
			fleet.exitReplica(0, protocol.CauseDone)
		}
	}
	if fleet.started < 4 || fleet.started > 15 {
		t.Errorf("%d starts in 120 s", fleet.started)
	}
	for range 60 { // the replica keeps running now
		fleet.exchangeAll()
	}
	before := fleet.started
	fleet.exitReplica(0, protocol.CauseError)
	fleet.exchangeAll()
	if on, _ := fleet.findReplica(testJob, 0); on == "" || fleet.started != before+1 {
		t.Errorf("replica not restarted at once after a long run: retry in %d ms", (leader.state.Jobs[testJob].RetryAt-fleet.clock.Now)/units.Millisecond)
	}
}

// A replica is stopped when its machine receives a termination notice, and starts elsewhere once it is
// known to have ended. A replica on a lost machine starts elsewhere once the machine's lease has
// expired. While a zone is lost, the other zone runs at most half of the replicas, as the topology
// spread requires.
func TestReplicasMoveFromTerminatedAndLostMachines(t *testing.T) {
	leader, clock, fleet := newServiceLeader(t, 2, true)
	fleet.exchangeAll()
	on, _ := fleet.findReplica(testJob, 0)
	fleet.machines[on].TerminationNoticed, fleet.machines[on].TerminationIn = true, 12*units.Second
	fleet.exchangeAll()
	fleet.exchangeAll()
	if now, _ := fleet.findReplica(testJob, 0); now == on || now == "" || fleet.runningReplicas() != 2 {
		t.Errorf("replica 0 is on %q, was on %s", now, on)
	}
	gone, _ := fleet.findReplica(testJob, 0)
	zone := fleet.machines[gone].Zone
	lost := map[string]*protocol.Heartbeat{}
	for id, heartbeat := range fleet.machines {
		if heartbeat.Zone == zone {
			lost[id] = heartbeat
		}
	}
	maps.DeleteFunc(fleet.machines, func(id string, _ *protocol.Heartbeat) bool { return lost[id] != nil })
	for range 25 {
		fleet.exchangeAll()
		leader.detector.ExpireWorkerLeases(clock.Now)
		if fleet.runningReplicas() > 1 {
			t.Fatalf("%d replicas run in one zone: %v", fleet.runningReplicas(), fleet.replicasByZone())
		}
	}
	for id, heartbeat := range lost {
		fleet.machines[id] = heartbeat
		heartbeat.Incarnation, heartbeat.Tasks = heartbeat.Incarnation+1, nil // its lease has expired
	}
	fleet.exchangeAll()
	fleet.exchangeAll()
	if fleet.runningReplicas() != 2 {
		t.Errorf("%d replicas run after the zone has recovered", fleet.runningReplicas())
	}
}

// A service ends when its user cancels it, also while a replica is being restarted. No replica starts
// after the cancellation.
func TestCancelledServicesEnd(t *testing.T) {
	leader, _, fleet := newServiceLeader(t, 3, false)
	fleet.exchangeAll()
	fleet.exitReplica(1, protocol.CauseError)
	fleet.exchangeAll() // the start of replica 1 may be in flight
	job := leader.state.Jobs[testJob]
	leader.cancelJob(job)
	started := fleet.started
	for range 5 {
		fleet.exchangeAll()
	}
	leader.commitWrites()
	if fleet.started > started || fleet.replicasByZone()["a"]+fleet.replicasByZone()["b"] != 0 {
		t.Errorf("%d starts after the cancellation, replicas by zone %v", fleet.started-started, fleet.replicasByZone())
	}
	if !job.CancelDurable || leader.state.Jobs[testJob] != nil {
		t.Error("the service has not ended")
	}
}

// A leader of the legacy version treats a service as a job array and may record some of its tasks
// as done. The service is then restored with all its replicas pending.
func TestServicesWithDoneTasksAreRestoredAsServices(t *testing.T) {
	spec := *fake.JobSpec(testJob)
	spec.Tasks = 3
	writer := newTestLeader(7, &fake.Clock{Now: units.Second})
	writer.state.NewJob(spec, 0, 0)
	batch := writer.state.BuildWriteBatch("1-1", writer.persister.BucketVersions(), cluster.BatchLimits{}, 0)
	writer.state.BatchCommitted(batch, 1)
	writer.state.TaskDone(writer.state.Jobs[spec.ID], 1, 0)
	batch = writer.state.BuildWriteBatch("1-2", writer.persister.BucketVersions(), cluster.BatchLimits{Background: true}, 10*units.Second)
	var fields map[string]any
	if err := protocol.Decode(batch.Txn.Then[0].Value, &fields); err != nil {
		t.Fatal(err)
	}
	fields["shape"] = uint8(protocol.Service)
	jobs, _, err := cluster.ParseJobs([]protocol.Item{{
		Key:     storage.KeyJob(spec.ID),
		Value:   protocol.Encode(fields),
		Version: 2,
	}})
	if err != nil {
		t.Fatal(err)
	}
	if job := jobs[0]; !job.IsService() || job.DoneCount() != 0 || job.Pending() != 3 || job.Complete() {
		t.Errorf("%d done, %d pending", job.DoneCount(), job.Pending())
	}
}

// When the next heartbeat is seconds away, a stop is pushed to the worker. A start is never pushed,
// since it could be carried out late. Instead the worker is woken by the start of a task that the job
// does not have, which every worker rejects whenever it arrives.
func TestPushedCommandsStartNothing(t *testing.T) {
	leader, clock, fleet := newServiceLeader(t, 2, false)
	leader.Settings.Fleet.Workers.HeartbeatS = 5
	for _, heartbeat := range fleet.machines {
		heartbeat.Endpoint = unusedAddress
		heartbeat.Sequence++
		leader.reconciler.Reconcile(heartbeat, clock.Now)
	}
	leader.scheduler.RunCycle(clock.Now, nil)
	requests := leader.pusher.TakeRequests()
	if len(requests) == 0 {
		t.Fatal("no machine is woken")
	}
	if again := leader.pusher.TakeRequests(); len(again) != 0 {
		t.Errorf("%d machines would be woken twice", len(again))
	}
	for id, startOf := range requests {
		_, body := leader.pusher.Commands(id, startOf)
		var pushed protocol.DirectCommands
		if err := protocol.Decode(body, &pushed); err != nil {
			t.Fatal(err)
		}
		if pushed.FencingToken != 7 || pushed.Incarnation != 1 || len(pushed.Commands) != 1 || pushed.Commands[0].Verb != protocol.VerbStart || pushed.Commands[0].Task != testJob+"/2" {
			t.Errorf("%s is sent %+v", id, pushed)
		}
	}
	attempt := leader.state.Jobs[testJob].LiveAttempts[0]
	attempt.Stage = cluster.Running
	leader.state.StopAttempt(attempt, units.Second)
	if _, body := leader.pusher.Commands(attempt.Machine.ID, nil); body == nil {
		t.Error("the stop is not pushed")
	}
	// A wake command must not name an index beyond the last that any job may have: a heartbeat with
	// that index would be rejected forever.
	huge := *leader.state.Jobs[testJob]
	huge.Spec.Tasks = protocol.MaxTasks
	if _, body := leader.pusher.Commands("i-000003", &huge); body != nil {
		t.Error("a machine is woken with a task index beyond the largest valid one")
	}
}

// Services do not end, so they must not keep the reserve of idle machines forever. Once no other job is
// left, the fleet scales in to the capacity that they need and headroom for replicas that may be
// lost.
func TestServicesDoNotKeepTheReserve(t *testing.T) {
	leader, clock, fleet := newServiceLeader(t, 2, false)
	for i := range 30 {
		heartbeat := testHeartbeat(machineID(100+i), 1, 0, 7)
		fleet.machines[heartbeat.Machine] = heartbeat
	}
	leader.state.Teams["team"].GuaranteedQuota, leader.state.Teams["team"].QuotaLimit = fake.CPUs(100), fake.CPUs(200)
	array := *fake.JobSpec("j-000002")
	leader.state.NewJob(array, clock.Now, clock.Now)
	for range 60 {
		fleet.exchangeAll()
	}
	if got := len(leader.autoscaler.IdleMachines(clock.Now)); got != 0 || leader.autoscaler.PolicyInput().QuietS != 0 {
		t.Errorf("%d machines may be released as idle while another job is pending", got)
	}
	leader.state.TaskDone(leader.state.Jobs["j-000002"], 0, clock.Now)
	leader.state.TaskDone(leader.state.Jobs["j-000002"], 1, clock.Now)
	for range 60 {
		fleet.exchangeAll()
	}
	// The fleet has 34 machines with 4 CPUs. The service needs capacity for two replicas and headroom
	// for two more in their zone.
	if got := len(leader.autoscaler.IdleMachines(clock.Now)); got < 28 || got > 32 {
		t.Errorf("%d machines may be released as idle", got)
	}
}
