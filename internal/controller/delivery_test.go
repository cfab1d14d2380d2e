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
	term, clock := leaderWithJob(t, 8)
	for i := range 4 {
		for seq := uint64(1); seq <= 2; seq++ {
			term.reconciler.Reconcile(testHeartbeat(fmt.Sprintf("i-%06d", i+1), 1, seq, 7), clock.Now)
		}
	}
	lost := "i-000000"
	starts := 0
	for seq := uint64(1); seq < 10; seq++ {
		for _, c := range term.exchange(testHeartbeat(lost, 1, seq, 7)) {
			if c.Verb == protocol.VerbStart {
				starts++
			}
		}
	}
	if starts == 0 || starts > cluster.MaxUndeliveredCommands*modelMachine {
		t.Errorf("%d starts were sent to a machine that never carried one out", starts)
	}
	if m := term.state.Machines[lost]; term.scheduler.MachineSchedulable(m, clock.Now) || len(m.Attempts) > 0 {
		t.Error("a machine that gets no answers is given work")
	}
	if silent := term.detector.LostMachines(clock.Now); !silent[lost] || len(silent) != 1 {
		t.Errorf("to be released: %v", silent)
	}
}

// A machine that was thought to get no answers is told nothing any more, so no command can show
// that it hears again. Its session does: without an answer it would begin another one
// within its lease. Where too many got none for any to be returned, they would else
// never get work again, with jobs waiting.
func TestMachineThatReceivesCommandsGetsWorkAgain(t *testing.T) {
	term, clock := leaderWithJob(t, 8)
	const id = "i-000000"
	seq := uint64(0)
	report := func(session uint64) *cluster.Machine {
		seq++
		term.exchange(testHeartbeat(id, session, seq, 7))
		return term.state.Machines[id]
	}
	for range 10 {
		report(1)
	}
	m := report(1)
	if !m.IgnoresCommands() {
		t.Fatal("the machine is not thought to get no answers")
	}
	// No answers still: a new session each lease.
	for session := uint64(2); session < 5; session++ {
		for range 8 {
			clock.Now += modelLease / 8
			if report(session); !m.IgnoresCommands() {
				t.Fatal("a machine that begins a new session with each lease is thought to hear")
			}
		}
	}
	for range 12 {
		clock.Now += modelLease / 8
		if report(4); m.UndeliveredCommands == 0 && term.scheduler.MachineSchedulable(m, clock.Now) {
			return
		}
	}
	t.Error("a machine that stays in its session beyond its lease is thought to get no answers")
}

// A machine that hears some of its answers gets enough of them.
func TestLostAnswerIsTolerated(t *testing.T) {
	term, clock := leaderWithJob(t, 8)
	var last []protocol.TaskStatus
	for seq := uint64(1); seq < 6; seq++ {
		r := testHeartbeat("i-000001", 1, seq, 7)
		r.Tasks = last
		out := term.exchange(r)
		if seq%2 == 0 { // every other answer is lost
			continue
		}
		last = nil
		for _, c := range out {
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
	if m := term.state.Machines["i-000001"]; m.IgnoresCommands() || !term.scheduler.MachineSchedulable(m, clock.Now) {
		t.Errorf("%d answers count as unheard", m.UndeliveredCommands)
	}
}

// Copies of reports come late, of machines that are gone or that this term does
// not know. They bring no room for work, confirm nothing and renew nothing.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	term, clock := leaderWithJob(t, 1)
	// Of a machine that worked under an earlier term and is gone.
	for seq := uint64(5); seq < 9; seq++ {
		if out := term.exchange(testHeartbeat("i-000001", 3, seq, 6)); len(out) > 0 {
			t.Fatalf("a machine that has not shown this term is sent %v", out)
		}
	}
	if term.scheduler.MachineSchedulable(term.state.Machines["i-000001"], clock.Now) {
		t.Error("it may be given work")
	}
	// Of one that was released in this term, however late.
	term.reconciler.Reconcile(testHeartbeat("i-000002", 1, 1, 7), clock.Now)
	term.state.RemoveMachine(term.state.Machines["i-000002"], clock.Now)
	term.state.Released.Add("i-000002", clock.Now)
	clock.Now += 600 * units.Second
	if m := term.reconciler.Reconcile(testHeartbeat("i-000002", 1, 9, 7), clock.Now); m != nil || term.state.Machines["i-000002"] != nil {
		t.Error("a released machine is back")
	}
	// Of one that is known: the older report has no effect.
	m := term.reconciler.Reconcile(testHeartbeat("i-000003", 2, 4, 7), clock.Now)
	heard := m.LastHeartbeat
	clock.Now += 5 * units.Second
	for _, r := range []*protocol.Heartbeat{testHeartbeat("i-000003", 2, 4, 7), testHeartbeat("i-000003", 1, 99, 7)} {
		if term.reconciler.Reconcile(r, clock.Now) != nil || m.LastHeartbeat != heard {
			t.Error("an old report renews the machine's lease")
		}
	}
	// A machine stays unconfirmed whatever an earlier term's report says.
	j := term.state.Jobs["j-000001"]
	term.state.Unreconciled.Mark(j, "i-000004")
	term.reconciler.Reconcile(testHeartbeat("i-000004", 1, 1, 6), clock.Now)
	if !j.UnreconciledMachines["i-000004"] {
		t.Error("a report from before this term confirms a machine")
	}
}

// A machine's answer to the announcement confirms it, but only as its first word
// in the term. Once it has reported by itself, a start may be on its way to it
// that such a report does not show; taking the start for lost would run the task
// twice.
func TestBroadcastAnswerCountsOnlyBeforeTheFirstHeartbeat(t *testing.T) {
	term, clock := leaderWithJob(t, 2)
	j := term.state.Jobs["j-000001"]
	term.state.Unreconciled.Mark(j, "i-000001")
	term.state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	term.broadcaster.Answered(testHeartbeat("i-000001", 1, 5, 7))
	if len(j.UnreconciledMachines) > 0 {
		t.Error("a report that shows this term does not confirm the machine")
	}
	if out := term.exchange(testHeartbeat("i-000001", 1, 6, 7)); len(out) != 2 || out[0].Verb != protocol.VerbStart {
		t.Fatalf("no starts: %v", out)
	}
	term.broadcaster.Answered(testHeartbeat("i-000001", 1, 7, 7))
	if len(j.LiveAttempts) != 2 {
		t.Error("starts that are on their way are taken for lost")
	}
	// A machine that the ledger does not know is not brought in this way.
	if term.broadcaster.Answered(testHeartbeat("i-000009", 1, 1, 7)); term.state.Machines["i-000009"] != nil {
		t.Error("an unknown machine is taken in")
	}
}
