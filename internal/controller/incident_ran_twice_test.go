package controller

import (
	"strings"
	"testing"

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
// Cause: stale knowledge stood in the place of proof. What tells it from a start that came
// late or a name missing in the job's record: here the record names the second machine, no
// answer is lost or late, and the three messages alone break the rule, in this order.
func TestCopyOfPreemptedAttemptDoesNotStartItsTaskTwice(t *testing.T) {
	f := newFailoverFleet(t, 2)
	first, second := f.workers[0], f.workers[1]
	oldCopy := preemptOnFirstAndStartOnSecond(f)

	f.leader.fakeLeadership().Lost = true
	f.startLeader(3)
	if !f.leader.state.Unreconciled.Contains(second.id) {
		t.Fatal("the job's record does not name the machine that runs its task")
	}

	f.deliverHeartbeat(oldCopy) // nobody waits for the answer
	// The second machine had no capacity for more work; here its notice keeps that away.
	f.broadcastTo(second, second.heartbeatWithNotice)
	for range 4 {
		f.exchange(first)
	}
	for range 2 {
		f.exchange(second)
		f.exchange(first)
	}
	if !second.holds(taskKey{testJob, 0}) {
		t.Error("the task does not run on the second machine any more")
	}
}

// preemptorRuns is how long nothing of the job starts after its task was preempted.
const preemptorRuns = 30 * units.Second

// preemptOnFirstAndStartOnSecond has the only task of testJob start on the first worker, end
// there by a stop, and start on the second. It returns a copy of a heartbeat from between.
func preemptOnFirstAndStartOnSecond(f *failoverFleet) *protocol.Heartbeat {
	f.t.Helper()
	first, second, task := f.workers[0], f.workers[1], taskKey{testJob, 0}
	f.submit(testJob, 1, 1)
	f.exchangeUntil(first, func() bool { return first.holds(task) })
	oldCopy := first.nextHeartbeat()
	f.exchange(first)
	state := f.leader.state
	state.StopAttempt(state.Machines[first.id].SortedAttempts()[0], 0)
	state.Jobs[testJob].RetryAt = f.leader.Clock.Steady() + preemptorRuns
	f.exchangeUntil(first, func() bool { return len(first.tasks) == 0 })
	f.advanceClock(preemptorRuns)
	f.exchangeUntil(second, func() bool { return second.holds(task) })
	f.exchange(second)
	return oldCopy
}

// What a leader knew of the two attempts, and from which messages, stands in its log at info,
// in one line for the heartbeat that shows the second one, and the metrics count it. Further
// heartbeats add no lines.
func TestLogNamesBothMachinesThatClaimATask(t *testing.T) {
	f := newFailoverFleet(t, 2)
	first, second := f.workers[0], f.workers[1]
	oldCopy := preemptOnFirstAndStartOnSecond(f)
	f.startLeader(3)
	f.deliverHeartbeat(oldCopy)
	f.broadcastTo(second, second.nextHeartbeat)
	f.deliverHeartbeat(oldCopy) // once more: it is older than one handled now

	const claim = `msg="task claimed by two machines" token=3 task=j-000001/0 tasks=1 attempt=8589934594 machine=i-000001 ` +
		`incarnation=1 sequence=5 shows_token=3 other_attempt=8589934593 other_machine=i-000000 other_incarnation=1 ` +
		`other_sequence=4 other_shows_token=2`
	if got := strings.Count(f.log.String(), claim); got != 1 {
		t.Errorf("%d lines of the claim, want 1:\n%s", got, f.log.String())
	}
	counted := string(f.leader.Metrics.Text())
	for _, want := range []string{
		"dunestand_attempts_rival_total 1\n",
		"dunestand_attempts_adopted_total 2\n",
		"dunestand_heartbeats_stale_total 1\n",
		"dunestand_heartbeats_other_token_total 1\n",
	} {
		if !strings.Contains(counted, want) {
			t.Errorf("not counted: %s", want)
		}
	}
	f.exchange(first)
	lines := strings.Count(f.log.String(), "\n")
	for range 3 {
		f.exchange(first)
		f.exchange(second)
	}
	if got := strings.Count(f.log.String(), "\n"); got > lines {
		t.Errorf("%d lines more for six heartbeats:\n%s", got-lines, f.log.String())
	}
}

// An attempt whose task was done elsewhere takes its capacity and its team's quota until it
// has ended, also under a leader that knows the task as done: a team at its limit would
// otherwise run more than it may, as long as the stop has not reached the machine.
func TestAttemptOfDoneTaskCountsUntilItHasEnded(t *testing.T) {
	f := newFailoverFleet(t, 3)
	busy, idle := f.workers[0], f.workers[1:]
	f.submit(testJob, 2, 2)
	f.exchangeUntil(busy, func() bool { return len(busy.tasks) == 2 })
	f.exchange(busy)
	// A late heartbeat of a machine that is gone shows an earlier attempt's completion. The
	// busy machine's answer, which stops its own attempt, is lost with the leader.
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
	f.broadcastTo(busy, busy.heartbeatWithNotice) // it gets no other work
	f.submit("j-000002", 4, 2)
	for range 4 {
		for _, worker := range idle {
			f.exchange(worker)
		}
	}
	if len(busy.tasks) != 2 || len(idle[0].tasks)+len(idle[1].tasks) == 0 {
		t.Errorf("the busy machine runs %d tasks, the others %d and %d", len(busy.tasks), len(idle[0].tasks), len(idle[1].tasks))
	}
	f.exchange(busy) // the stop
	for range 2 {
		f.exchange(busy)
		f.exchange(idle[0])
	}
	if machine := f.leader.state.Machines[busy.id]; len(machine.Attempts) > 2 || busy.holds(taskKey{testJob, 0}) {
		t.Errorf("the attempt of the done task is still there: %v", busy.tasks)
	}
}
