package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// serviceLeader is a leader of a service of some replicas, and machines in two
// zones that have reported.
func serviceLeader(t *testing.T, replicas int, spread bool) (*Leader, *standin.Clock, *serviceFleet) {
	t.Helper()
	clock := &standin.Clock{Now: 100 * units.Second}
	term := newTestLeader(7, clock)
	term.setFormat(storage.FormatNew)
	term.persister.InstallRecords(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Kind, spec.Tasks, spec.ZoneSpread, spec.Priority = protocol.Service, replicas, spread, protocol.Production
	term.state.NewJob(spec, clock.Now, clock.Now)
	term.save()
	f := &serviceFleet{t: t, term: term, clock: clock, machines: map[string]*protocol.Heartbeat{}}
	for i, zone := range []string{"a", "a", "b", "b"} {
		r := testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 0, 7)
		r.Zone = zone
		f.machines[r.Machine] = r
	}
	return term, clock, f
}

// serviceFleet is machines as the leader hears of them.
type serviceFleet struct {
	t        *testing.T
	term     *Leader
	clock    *standin.Clock
	machines map[string]*protocol.Heartbeat
	started  int
}

// report has every machine report once and carry out its answer.
func (f *serviceFleet) report() {
	f.t.Helper()
	f.clock.Now += units.Second
	for _, id := range sorted.Keys(f.machines) {
		r := f.machines[id]
		r.Sequence++
		for _, c := range f.term.exchange(r) {
			f.execute(r, c)
		}
	}
}

func (f *serviceFleet) execute(r *protocol.Heartbeat, c protocol.Command) {
	f.t.Helper()
	var tasks []protocol.TaskStatus
	for _, task := range r.Tasks {
		switch mine := protocol.TaskName(task.Job, task.Index) == c.Task && task.Attempt == c.Attempt; {
		case mine && c.Verb == protocol.VerbForget:
			continue
		case mine && c.Verb == protocol.VerbStop && task.Stage != protocol.TaskExited:
			task.Stage, task.Cause = protocol.TaskExited, protocol.CauseStopped
		}
		tasks = append(tasks, task)
	}
	r.Tasks = tasks
	if c.Verb != protocol.VerbStart {
		return
	}
	var job string
	var index int
	if _, err := fmt.Sscanf(c.Task, "%8s/%d", &job, &index); err != nil {
		f.t.Fatal(err)
	}
	if on, _ := f.where(job, index); on != "" {
		f.t.Fatalf("%s starts on %s while it is on %s", c.Task, r.Machine, on)
	}
	f.started++
	r.Tasks = append(r.Tasks, protocol.TaskStatus{
		Job:     job,
		Index:   index,
		Attempt: c.Attempt,
		Stage:   protocol.TaskRunning,
	})
}

// where tells on which machine a replica runs.
func (f *serviceFleet) where(job string, index int) (machine string, task *protocol.TaskStatus) {
	for id, r := range f.machines {
		for i := range r.Tasks {
			if r.Tasks[i].Job == job && r.Tasks[i].Index == index && r.Tasks[i].Stage != protocol.TaskExited {
				return id, &r.Tasks[i]
			}
		}
	}
	return "", nil
}

func (f *serviceFleet) running() int {
	n := 0
	for i := range f.term.state.Jobs["j-000001"].Spec.Tasks {
		if on, _ := f.where("j-000001", i); on != "" {
			n++
		}
	}
	return n
}

func (f *serviceFleet) zones() map[string]int {
	zones := map[string]int{}
	for _, r := range f.machines {
		for _, task := range r.Tasks {
			if task.Stage != protocol.TaskExited {
				zones[r.Zone]++
			}
		}
	}
	return zones
}

// end has a replica end by itself.
func (f *serviceFleet) end(index int, cause protocol.ExitCause) {
	_, task := f.where("j-000001", index)
	task.Stage, task.Cause = protocol.TaskExited, cause
}

// A replica that ends runs again, with an error or without, and the job is never
// done, not even by what an older version or a late copy of a report says. Its
// zones are kept apart at every start.
func TestReplicasRunAgain(t *testing.T) {
	term, _, f := serviceLeader(t, 4, true)
	f.report()
	if f.running() != 4 || f.zones()["a"] != 2 {
		t.Fatalf("%d run, in %v", f.running(), f.zones())
	}
	for range 30 {
		f.report()
	}
	on, _ := f.where("j-000001", 2)
	late := *f.machines[on]
	late.Tasks = append([]protocol.TaskStatus{}, late.Tasks...)
	for i, cause := range []protocol.ExitCause{protocol.CauseDone, protocol.CauseError, protocol.CauseDone, protocol.CauseDone} {
		f.end(i, cause)
	}
	f.report()
	term.reconciler.Reconcile(&late, f.clock.Now)
	f.report()
	f.report()
	if f.running() != 4 || f.zones()["a"] != 2 || f.started != 8 {
		t.Errorf("%d run in %v, %d were started", f.running(), f.zones(), f.started)
	}
	j := term.state.Jobs["j-000001"]
	if j.Complete() || j.DoneCount() != 0 || j.IsDone(0) {
		t.Error("the service counts as done")
	}
	if s := state(t, term.Poll(t.Context(), "j-000001")); s.Stage != protocol.StageRunning {
		t.Errorf("its user is told %s", s.Stage)
	}
}

// A replica that keeps ending is started ever more slowly; one that ran for a
// while comes back at once.
func TestReplicasThatKeepEndingBackOff(t *testing.T) {
	term, _, f := serviceLeader(t, 1, false)
	for range 120 {
		f.report()
		if on, _ := f.where("j-000001", 0); on != "" {
			f.end(0, protocol.CauseDone)
		}
	}
	if f.started < 4 || f.started > 15 {
		t.Errorf("%d starts in 120 s", f.started)
	}
	for range 60 { // it is in order now
		f.report()
	}
	before := f.started
	f.end(0, protocol.CauseError)
	f.report()
	if on, _ := f.where("j-000001", 0); on == "" || f.started != before+1 {
		t.Errorf("it is not started at once after a long run: retry in %d ms", (term.state.Jobs["j-000001"].RetryAt-f.clock.Now)/units.Millisecond)
	}
}

// A replica leaves a machine that is about to go as soon as the notice comes, and
// runs elsewhere once it is known to be gone from there; one whose machine is lost
// does once that is certain. While its zone is gone, no more than half are in the
// other one.
func TestReplicasLeaveMachines(t *testing.T) {
	term, clock, f := serviceLeader(t, 2, true)
	f.report()
	on, _ := f.where("j-000001", 0)
	f.machines[on].TerminationNoticed, f.machines[on].TerminationIn = true, 12*units.Second
	f.report()
	f.report()
	if now, _ := f.where("j-000001", 0); now == on || now == "" || f.running() != 2 {
		t.Errorf("replica 0 is on %q, was on %s", now, on)
	}
	gone, _ := f.where("j-000001", 0)
	zone := f.machines[gone].Zone
	lost := map[string]*protocol.Heartbeat{}
	for id, r := range f.machines {
		if r.Zone == zone {
			lost[id] = r
		}
	}
	for id := range lost {
		delete(f.machines, id)
	}
	for range 25 {
		f.report()
		term.detector.ExpireLeases(clock.Now)
		if f.running() > 1 {
			t.Fatalf("%d replicas run in one zone: %v", f.running(), f.zones())
		}
	}
	for id, r := range lost {
		f.machines[id] = r
		r.Incarnation, r.Tasks = r.Incarnation+1, nil // its lease has run out
	}
	f.report()
	f.report()
	if f.running() != 2 {
		t.Errorf("%d replicas run after the zone is back", f.running())
	}
}

// A service is over when its user cancels it, also in the midst of a replica's
// restart and over a change of leader: nothing of it starts after that.
func TestCancelledServicesEnd(t *testing.T) {
	term, _, f := serviceLeader(t, 3, false)
	f.report()
	f.end(1, protocol.CauseError)
	f.report() // the start of replica 1 may be on its way
	j := term.state.Jobs["j-000001"]
	term.cancelJob(j)
	started := f.started
	for range 5 {
		f.report()
	}
	term.save()
	if f.started > started || f.zones()["a"]+f.zones()["b"] != 0 {
		t.Errorf("%d starts after the cancellation, replicas in %v", f.started-started, f.zones())
	}
	if !j.CancelDurable || term.state.Jobs["j-000001"] != nil {
		t.Error("it is not over")
	}
}

// A record of a service that a version before has taken for an array, with some
// tasks done, is that of a service all the same, and all its replicas run.
func TestServicesAreRestoredAsServices(t *testing.T) {
	spec := *modelSpec("j-000001")
	spec.Tasks = 3
	writer := newTestLeader(7, &standin.Clock{Now: units.Second})
	writer.state.NewJob(spec, 0, 0)
	s := writer.state.BuildWriteBatch("1-1", writer.persister.BucketVersions(), cluster.BatchLimits{}, 0)
	writer.state.BatchCommitted(s, 1)
	writer.state.TaskDone(writer.state.Jobs[spec.ID], 1, 0)
	s = writer.state.BuildWriteBatch("1-2", writer.persister.BucketVersions(), cluster.BatchLimits{Background: true}, 10*units.Second)
	var fields map[string]any
	if err := protocol.Decode(s.Txn.Then[0].Value, &fields); err != nil {
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
	if j := jobs[0]; !j.IsService() || j.DoneCount() != 0 || j.Pending() != 3 || j.Complete() {
		t.Errorf("%d done, %d pending", j.DoneCount(), j.Pending())
	}
}

// What is urgent does not wait for a report that is seconds away: a stop goes
// straight to the worker. A start never does: the machine is woken by one that no
// worker carries out, whenever it comes, since the job has no such task.
func TestDirectCommandsStartNothing(t *testing.T) {
	term, clock, f := serviceLeader(t, 2, false)
	term.Settings.Fleet.Workers.ReportS = 5
	for _, r := range f.machines {
		r.Endpoint = "127.0.0.1:1"
		r.Sequence++
		term.reconciler.Reconcile(r, clock.Now)
	}
	term.scheduler.RunCycle(clock.Now, nil)
	requests := term.pusher.TakeRequests()
	if len(requests) == 0 {
		t.Fatal("no machine is woken")
	}
	if again := term.pusher.TakeRequests(); len(again) != 0 {
		t.Errorf("%d machines would be woken twice", len(again))
	}
	for id, startOf := range requests {
		_, body := term.pusher.Commands(id, startOf)
		var d protocol.DirectCommands
		if err := protocol.Decode(body, &d); err != nil {
			t.Fatal(err)
		}
		if d.FencingToken != 7 || d.Incarnation != 1 || len(d.Commands) != 1 || d.Commands[0].Verb != protocol.VerbStart || d.Commands[0].Task != "j-000001/2" {
			t.Errorf("%s is told %+v", id, d)
		}
	}
	a := term.state.Jobs["j-000001"].LiveAttempts[0]
	a.Stage = cluster.Running
	term.state.StopAttempt(a, units.Second)
	if _, body := term.pusher.Commands(a.Machine.ID, nil); body == nil {
		t.Error("the stop waits")
	}
	// One more task than a job may have is no task: a report that named it would
	// be refused for ever.
	huge := *term.state.Jobs["j-000001"]
	huge.Spec.Tasks = protocol.MaxTasks
	if _, body := term.pusher.Commands("i-000003", &huge); body != nil {
		t.Error("a machine is woken with a task beyond the last number")
	}
}

// Services never end, so they must not keep the reserve rented for ever: once
// nothing else is left, the fleet shrinks to what they need and room for those
// that may be lost.
func TestServicesDoNotKeepTheReserve(t *testing.T) {
	term, clock, f := serviceLeader(t, 2, false)
	for i := range 30 {
		r := testHeartbeat(fmt.Sprintf("i-%06d", 100+i), 1, 0, 7)
		f.machines[r.Machine] = r
	}
	term.state.Teams["team"].GuaranteedQuota, term.state.Teams["team"].QuotaLimit = standin.CPUs(100), standin.CPUs(200)
	array := *modelSpec("j-000002")
	term.state.NewJob(array, clock.Now, clock.Now)
	for range 60 {
		f.report()
	}
	if got := len(term.autoscaler.IdleMachines(clock.Now)); got != 0 || term.autoscaler.PolicyInput().QuietS != 0 {
		t.Errorf("%d machines are returned while there is work", got)
	}
	term.state.TaskDone(term.state.Jobs["j-000002"], 0, clock.Now)
	term.state.TaskDone(term.state.Jobs["j-000002"], 1, clock.Now)
	for range 60 {
		f.report()
	}
	// 34 machines of 4 processors; two replicas, and two spare ones in the zone.
	if got := len(term.autoscaler.IdleMachines(clock.Now)); got < 28 || got > 32 {
		t.Errorf("%d machines are returned", got)
	}
}
