package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A machine whose reports arrive but which carries nothing out gets no more
// work and is returned; what was sent there is waiting again. On one that hears
// again nothing is held against it.
func TestMachineThatReceivesNoCommandsIsReleased(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	for i := range 4 {
		for sequence := uint64(1); sequence <= 2; sequence++ {
			leader.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i+1), 1, sequence, 7), clock.Now)
		}
	}
	unresponsive := "i-000000"
	starts := 0
	for sequence := uint64(1); sequence < 10; sequence++ {
		for _, c := range leader.exchange(testHeartbeat(unresponsive, 1, sequence, 7)) {
			if c.Verb == protocol.VerbStart {
				starts++
			}
		}
	}
	if starts == 0 || starts > cluster.MaxUndeliveredCommands*modelMachineCPUs {
		t.Errorf("%d starts were sent to a machine that never carried one out", starts)
	}
	if m := leader.state.Machines[unresponsive]; leader.scheduler.MachineSchedulable(m, clock.Now) || len(m.Attempts) > 0 {
		t.Error("a machine that gets no answers is given work")
	}
	if lost := leader.detector.LostMachines(clock.Now); !lost[unresponsive] || len(lost) != 1 {
		t.Errorf("to be released: %v", lost)
	}
}

// A machine that was thought to get no answers is told nothing any more, so no command can show
// that it hears again. Its session does: without an answer it would begin another one
// within its lease. Where too many got none for any to be returned, they would else
// never get work again, with jobs waiting.
func TestMachineThatReceivesCommandsGetsWorkAgain(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	const id = "i-000000"
	sequence := uint64(0)
	exchange := func(incarnation uint64) *cluster.Machine {
		sequence++
		leader.exchange(testHeartbeat(id, incarnation, sequence, 7))
		return leader.state.Machines[id]
	}
	for range 10 {
		exchange(1)
	}
	m := exchange(1)
	if !m.IgnoresCommands() {
		t.Fatal("the machine is not thought to get no answers")
	}
	// No answers still: a new session each lease.
	for incarnation := uint64(2); incarnation < 5; incarnation++ {
		for range 8 {
			clock.Now += modelLease / 8
			if exchange(incarnation); !m.IgnoresCommands() {
				t.Fatal("a machine that begins a new session with each lease is thought to hear")
			}
		}
	}
	for range 12 {
		clock.Now += modelLease / 8
		if exchange(4); m.UndeliveredCommands == 0 && leader.scheduler.MachineSchedulable(m, clock.Now) {
			return
		}
	}
	t.Error("a machine that stays in its session beyond its lease is thought to get no answers")
}

// A machine that hears some of its answers gets enough of them.
func TestLostAnswerIsTolerated(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	var last []protocol.TaskStatus
	for sequence := uint64(1); sequence < 6; sequence++ {
		r := testHeartbeat("i-000001", 1, sequence, 7)
		r.Tasks = last
		commands := leader.exchange(r)
		if sequence%2 == 0 { // every other answer is lost
			continue
		}
		last = nil
		for _, c := range commands {
			if c.Verb == protocol.VerbStart {
				var index int
				if _, err := fmt.Sscanf(c.Task, "j-000001/%d", &index); err != nil {
					t.Fatal(err)
				}
				last = append(last, protocol.TaskStatus{
					Job:     "j-000001",
					Index:   index,
					Attempt: c.Attempt,
					Stage:   protocol.TaskExited,
					Cause:   protocol.CauseDone,
				})
			}
		}
	}
	if m := leader.state.Machines["i-000001"]; m.IgnoresCommands() || !leader.scheduler.MachineSchedulable(m, clock.Now) {
		t.Errorf("%d answers count as unheard", m.UndeliveredCommands)
	}
}

// Copies of reports come late, of machines that are gone or that this term does
// not know. They bring no room for work, confirm nothing and renew nothing.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	// Of a machine that worked under an earlier term and is gone.
	for sequence := uint64(5); sequence < 9; sequence++ {
		if commands := leader.exchange(testHeartbeat("i-000001", 3, sequence, 6)); len(commands) > 0 {
			t.Fatalf("a machine that has not shown this term is sent %v", commands)
		}
	}
	if leader.scheduler.MachineSchedulable(leader.state.Machines["i-000001"], clock.Now) {
		t.Error("it may be given work")
	}
	// Of one that was released in this term, however late.
	leader.reconciler.Reconcile(testHeartbeat("i-000002", 1, 1, 7), clock.Now)
	leader.state.RemoveMachine(leader.state.Machines["i-000002"], clock.Now)
	leader.state.Released.Add("i-000002", clock.Now)
	clock.Now += 600 * units.Second
	if m := leader.reconciler.Reconcile(testHeartbeat("i-000002", 1, 9, 7), clock.Now); m != nil || leader.state.Machines["i-000002"] != nil {
		t.Error("a released machine is back")
	}
	// Of one that is known: the older report has no effect.
	m := leader.reconciler.Reconcile(testHeartbeat("i-000003", 2, 4, 7), clock.Now)
	heardAt := m.LastHeartbeat
	clock.Now += 5 * units.Second
	for _, r := range []*protocol.Heartbeat{testHeartbeat("i-000003", 2, 4, 7), testHeartbeat("i-000003", 1, 99, 7)} {
		if leader.reconciler.Reconcile(r, clock.Now) != nil || m.LastHeartbeat != heardAt {
			t.Error("an old report renews the machine's lease")
		}
	}
	// A machine stays unconfirmed whatever an earlier term's report says.
	j := leader.state.Jobs["j-000001"]
	leader.state.MarkUnreconciled(j, "i-000004")
	leader.reconciler.Reconcile(testHeartbeat("i-000004", 1, 1, 6), clock.Now)
	if !j.UnreconciledMachines["i-000004"] {
		t.Error("a report from before this term confirms a machine")
	}
}

// A machine's answer to the announcement confirms it, but only as its first word
// in the term. Once it has reported by itself, a start may be on its way to it
// that such a report does not show; taking the start for lost would run the task
// twice.
func TestBroadcastAnswerCountsOnlyBeforeTheFirstHeartbeat(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 2)
	j := leader.state.Jobs["j-000001"]
	leader.state.MarkUnreconciled(j, "i-000001")
	leader.state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	leader.broadcaster.Answered(testHeartbeat("i-000001", 1, 5, 7))
	if len(j.UnreconciledMachines) > 0 {
		t.Error("a report that shows this term does not confirm the machine")
	}
	if commands := leader.exchange(testHeartbeat("i-000001", 1, 6, 7)); len(commands) != 2 || commands[0].Verb != protocol.VerbStart {
		t.Fatalf("no starts: %v", commands)
	}
	leader.broadcaster.Answered(testHeartbeat("i-000001", 1, 7, 7))
	if len(j.LiveAttempts) != 2 {
		t.Error("starts that are on their way are taken for lost")
	}
	// A machine that the ledger does not know is not brought in this way.
	if leader.broadcaster.Answered(testHeartbeat("i-000009", 1, 1, 7)); leader.state.Machines["i-000009"] != nil {
		t.Error("an unknown machine is taken in")
	}
}
