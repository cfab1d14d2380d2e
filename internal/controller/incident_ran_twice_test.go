package controller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The incident: a task ran on two machines at once.
//
// Seen: a leader had preempted the task on one machine and started it on another. It froze,
// and right after the next leader had restored the records, that one started the task on the
// first machine again, while the second still ran it.
//
// How it came about: the new leader's first word of the first machine was a copy of an old
// heartbeat that showed the task running. The second machine then answered the broadcast of
// the fencing token and showed it running, too. The leader kept one attempt of a task, so it
// took no note of this one, and marked the machine as reconciled all the same. The first
// machine's own heartbeat, without the task, removed the only attempt known, and what is on
// no machine known is placed.
//
// Cause: stale knowledge stood in the place of proof. What tells it from a late answer or a
// missing name in the job's record: the record names the second machine, and no message but
// these three is handled.

// incident is a fleet of two machines with one task, and the leader of the moment.
type incident struct {
	t          *testing.T
	store      *fake.KVServer
	leader     *Leader
	first      *modelWorker // where the task was preempted
	second     *modelWorker // where it runs since
	task       taskKey
	oldCopy    *protocol.Heartbeat // of the first machine: the task runs there
	broadcasts *httptest.Server    // the second machine's endpoint for direct commands
}

// TestCopyOfPreemptedAttemptDoesNotStartItsTaskTwice handles the three messages in the order
// of the incident.
func TestCopyOfPreemptedAttemptDoesNotStartItsTaskTwice(t *testing.T) {
	in := newIncident(t)
	in.preemptOnFirstAndStartOnSecond()
	in.failOver()

	in.deliverCopy()
	in.broadcastToSecond()
	for range 4 {
		in.exchange(in.first)
	}
	for range 2 {
		in.exchange(in.second)
		in.exchange(in.first)
	}
	if !in.second.holds(in.task) {
		t.Error("the task does not run on the second machine any more")
	}
}

// newIncident returns the fleet under its first leader, with a job of one task.
func newIncident(t *testing.T) *incident {
	in := &incident{
		t:      t,
		store:  fake.NewKVServer(),
		first:  newIncidentWorker("i-000001"),
		second: newIncidentWorker("i-000002"),
		task:   taskKey{testJob, 0},
	}
	in.broadcasts = httptest.NewServer(http.HandlerFunc(in.answerBroadcast))
	t.Cleanup(in.broadcasts.Close)
	in.lead(2)
	spec := *fake.JobSpec(testJob)
	spec.Tasks, spec.Estimate = 1, noticePeriod/2
	now := in.leader.Clock.Steady()
	in.leader.state.NewJob(spec, now, now)
	in.leader.commitNext(t.Context())
	return in
}

func newIncidentWorker(id string) *modelWorker {
	return &modelWorker{id: id, alive: true, incarnation: 1, tasks: map[taskKey]modelTask{}}
}

// lead makes a new leader that has restored the records.
func (in *incident) lead(token uint64) {
	in.leader = newStoredLeader(in.t, token, in.store)
	if !in.leader.persister.Restore(in.t.Context()) {
		in.t.Fatal("the records are not restored")
	}
	in.leader.state.SetInstanceTypes(modelCatalog.Types)
}

// preemptorRuns is how long nothing of the job starts after its task was preempted.
const preemptorRuns = 30 * units.Second

// preemptOnFirstAndStartOnSecond has the task start on the first machine, of which a heartbeat
// is copied, end there by a stop, and start on the second machine.
func (in *incident) preemptOnFirstAndStartOnSecond() {
	in.exchangeUntil(in.first, func() bool { return in.first.holds(in.task) })
	in.oldCopy = in.first.nextHeartbeat()
	in.exchange(in.first)
	machine := in.leader.state.Machines[in.first.id]
	in.leader.state.StopAttempt(machine.SortedAttempts()[0], 0)
	in.leader.state.Jobs[testJob].RetryAt = in.leader.Clock.Steady() + preemptorRuns
	in.exchangeUntil(in.first, func() bool { return len(in.first.tasks) == 0 })
	in.leader.Clock.(*fake.Clock).Now += preemptorRuns
	in.exchangeUntil(in.second, func() bool { return in.second.holds(in.task) })
	in.exchange(in.second)
	in.leader.commitNext(in.t.Context())
	if in.second.holds(in.task) == in.first.holds(in.task) {
		in.t.Fatal("the task is not just on the second machine")
	}
}

// failOver ends the leader; the next one restores the records, which name the second machine.
func (in *incident) failOver() {
	in.leader.lease().Lost = true
	in.lead(3)
	if !in.leader.state.Unreconciled.Contains(in.second.id) {
		in.t.Fatal("the job's record does not name the machine that runs its task")
	}
}

// deliverCopy brings the leader the copy of the first machine's heartbeat. Nobody waits for
// the answer.
func (in *incident) deliverCopy() {
	if _, err := in.leader.Heartbeat(in.t.Context(), in.oldCopy, nil); err != nil {
		in.t.Fatal(err)
	}
}

// broadcastToSecond has the leader broadcast its token until the second machine has answered.
func (in *incident) broadcastToSecond() {
	state := in.leader.state
	state.EnsureMachine(in.second.id, "m", "a", true, in.leader.Clock.Steady()).Endpoint = in.broadcasts.Listener.Addr().String()
	ctx, cancel := context.WithCancel(in.t.Context())
	var broadcast sync.WaitGroup
	broadcast.Go(func() { in.leader.broadcaster.Run(ctx) })
	reconciled := func() bool {
		state.Lock()
		defer state.Unlock()
		return !state.Unreconciled.Contains(in.second.id)
	}
	answered := eventually(10*time.Second, reconciled)
	cancel()
	broadcast.Wait()
	if !answered {
		in.t.Fatal("the second machine has not answered the broadcast")
	}
}

// noticePeriod is when the second machine ends. It had no capacity left for other work in the
// incident; here it takes none because of the notice, and its task ends before.
const noticePeriod = 600 * units.Second

// heartbeatWithNotice returns a heartbeat that shows a termination notice.
func (w *modelWorker) heartbeatWithNotice() *protocol.Heartbeat {
	heartbeat := w.nextHeartbeat()
	heartbeat.TerminationNoticed, heartbeat.TerminationIn = true, noticePeriod
	return heartbeat
}

// answerBroadcast is the second machine's endpoint: it shows what it holds.
func (in *incident) answerBroadcast(w http.ResponseWriter, _ *http.Request) {
	in.second.token = in.leader.token
	_, _ = w.Write(encodeReachable(in.second.heartbeatWithNotice()))
}

// exchange has a machine send a heartbeat and carry out the answer. The rule is checked on the
// machines themselves.
func (in *incident) exchange(worker *modelWorker) {
	in.t.Helper()
	in.leader.Clock.(*fake.Clock).Now += units.Second
	response, err := in.leader.Heartbeat(in.t.Context(), worker.nextHeartbeat(), nil)
	if err != nil && !errors.Is(err, errStaleHeartbeat) {
		in.t.Fatal(err)
	}
	in.leader.commitNext(in.t.Context()) // starts that wait for it go with the next answer
	worker.token = response.FencingToken
	for _, command := range response.Commands {
		worker.carryOut(command)
	}
	if in.first.holds(in.task) && in.second.holds(in.task) {
		in.t.Fatalf("two machines hold %s", protocol.TaskName(in.task.job, in.task.index))
	}
}

// exchangeUntil repeats exchange until a condition holds.
func (in *incident) exchangeUntil(worker *modelWorker, condition func() bool) {
	in.t.Helper()
	for range 10 {
		if condition() {
			return
		}
		in.exchange(worker)
	}
	in.t.Fatalf("not after ten heartbeats of %s: %v", worker.id, worker.tasks)
}
