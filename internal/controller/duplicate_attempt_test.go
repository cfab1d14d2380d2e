package controller

import (
	"strings"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A duplicate of an old heartbeat must not make a new leader start a task that already runs on
// another machine. This happened: a leader had preempted the task on the first machine and started
// it on the second, and then hung. The next leader received three messages in this order:
//
//  1. A duplicate of an old heartbeat of the first machine, which showed the task running.
//  2. The second machine's response to the broadcast of the fencing token, which showed the task
//     running there. The leader kept only one attempt of a task, so it ignored this one, but still
//     marked the second machine as reconciled.
//  3. A current heartbeat of the first machine, without the task. It removed the only known attempt,
//     so the leader placed the task again while it ran on the second machine.
//
// No other fault is involved: the job's record names the second machine, and no response is lost or
// late.
func TestDuplicateHeartbeatOfPreemptedAttemptDoesNotStartItsTaskTwice(t *testing.T) {
	f := newFailoverFleet(t, 2)
	first, second := f.workers[0], f.workers[1]
	duplicate := preemptOnFirstAndStartOnSecond(f)

	f.leader.fakeLeadership().Lost = true
	f.startLeader(3)
	if !f.leader.state.Unreconciled.Contains(second.id) {
		t.Fatal("the job's record does not name the machine that runs its task")
	}

	f.deliverHeartbeat(duplicate) // the worker does not wait for the response
	// A termination notice keeps further work away from the second machine, which had no capacity left
	// in the incident.
	f.broadcastTo(second, second.heartbeatWithNotice)
	for range 4 {
		f.exchange(first)
	}
	for range 2 {
		f.exchange(second)
		f.exchange(first)
	}
	if !second.holds(taskKey{testJob, 0}) {
		t.Error("the task no longer runs on the second machine")
	}
}

// preemptionDelay is how long no task of the job is started after the preemption.
const preemptionDelay = 30 * units.Second

// preemptOnFirstAndStartOnSecond starts the only task of testJob on the first worker, preempts it
// and starts it on the second worker. It returns a duplicate of a heartbeat that the first worker
// sent while it ran the task.
func preemptOnFirstAndStartOnSecond(f *failoverFleet) *protocol.Heartbeat {
	f.t.Helper()
	first, second, task := f.workers[0], f.workers[1], taskKey{testJob, 0}
	f.submit(testJob, 1, 1)
	f.exchangeUntil(first, func() bool { return first.holds(task) })
	duplicate := first.nextHeartbeat()
	f.exchange(first)
	state := f.leader.state
	state.StopAttempt(state.Machines[first.id].SortedAttempts()[0], 0)
	state.Jobs[testJob].RetryAt = f.leader.Clock.Steady() + preemptionDelay
	f.exchangeUntil(first, func() bool { return len(first.tasks) == 0 })
	f.advanceClock(preemptionDelay)
	f.exchangeUntil(second, func() bool { return second.holds(task) })
	f.exchange(second)
	return duplicate
}

// When a heartbeat shows a second attempt of a task, the leader logs one line at level info with both
// attempts and the messages that showed them, and counts the event in the metrics. Later heartbeats
// add no lines.
func TestLogNamesBothMachinesThatClaimATask(t *testing.T) {
	f := newFailoverFleet(t, 2)
	first, second := f.workers[0], f.workers[1]
	duplicate := preemptOnFirstAndStartOnSecond(f)
	f.startLeader(3)
	f.deliverHeartbeat(duplicate)
	f.broadcastTo(second, second.nextHeartbeat)
	f.deliverHeartbeat(duplicate) // again: it is stale now

	const claim = `msg="task claimed by two machines" token=3 task=j-000001/0 tasks=1 attempt=8589934594 machine=i-000001 ` +
		`incarnation=1 sequence=5 shows_token=3 other_attempt=8589934593 other_machine=i-000000 other_incarnation=1 ` +
		`other_sequence=4 other_shows_token=2`
	if got := strings.Count(f.log.String(), claim); got != 1 {
		t.Errorf("%d lines on the second attempt, want 1:\n%s", got, f.log.String())
	}
	counted := string(f.leader.Metrics.Text())
	for _, want := range []string{
		"dunestand_attempts_rival_total 1\n",
		"dunestand_attempts_adopted_total 2\n",
		"dunestand_heartbeats_stale_total 1\n",
		"dunestand_heartbeats_other_token_total 1\n",
	} {
		if !strings.Contains(counted, want) {
			t.Errorf("missing in the metrics: %s", want)
		}
	}
	f.exchange(first)
	lines := strings.Count(f.log.String(), "\n")
	for range 3 {
		f.exchange(first)
		f.exchange(second)
	}
	if got := strings.Count(f.log.String(), "\n"); got > lines {
		t.Errorf("%d more lines for six heartbeats:\n%s", got-lines, f.log.String())
	}
}

// An attempt of a task that was completed by another attempt uses capacity and its team's quota until
// it has ended, also under a leader that has restored the task as done. Otherwise a team at its quota
// limit would exceed the limit until the stop reaches the machine.
func TestAttemptOfDoneTaskCountsUntilItHasEnded(t *testing.T) {
	f := newFailoverFleet(t, 3)
	busy, idle := f.workers[0], f.workers[1:]
	f.submit(testJob, 2, 2)
	f.exchangeUntil(busy, func() bool { return len(busy.tasks) == 2 })
	f.exchange(busy)
	// A late heartbeat of a machine that no longer exists shows the completion of an earlier
	// attempt. The response that stops the busy machine's own attempt is lost when the leader
	// fails.
	late := testHeartbeat(machineID(9), 1, 1, 0)
	late.Tasks = []protocol.TaskStatus{{
		Job:     testJob,
		Attempt: 1,
		Stage:   protocol.TaskExited,
		Cause:   protocol.CauseDone,
	}}
	f.deliverHeartbeat(late)
	f.deliverHeartbeat(busy.nextHeartbeat())

	f.startLeader(3)
	if !f.leader.state.Jobs[testJob].IsDone(0) {
		t.Fatal("the completion is not restored")
	}
	f.broadcastTo(busy, busy.heartbeatWithNotice) // the notice keeps other work away
	f.submit("j-000002", 4, 2)
	for range 4 {
		for _, worker := range idle {
			f.exchange(worker)
		}
	}
	if len(busy.tasks) != 2 || len(idle[0].tasks)+len(idle[1].tasks) == 0 {
		t.Errorf("the busy machine runs %d tasks, the others %d and %d", len(busy.tasks), len(idle[0].tasks), len(idle[1].tasks))
	}
	f.exchange(busy) // its response carries the stop
	for range 2 {
		f.exchange(busy)
		f.exchange(idle[0])
	}
	if machine := f.leader.state.Machines[busy.id]; len(machine.Attempts) > 2 || busy.holds(taskKey{testJob, 0}) {
		t.Errorf("the attempt of the done task has not ended: %v", busy.tasks)
	}
}
