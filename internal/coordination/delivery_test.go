package coordination

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
func TestMachineWithoutAnswersIsReturned(t *testing.T) {
	term, clock := guardTerm(t, 8)
	for i := range 4 {
		for seq := uint64(1); seq <= 2; seq++ {
			term.observe(testReport(fmt.Sprintf("i-%06d", i+1), 1, seq, 7), clock.now)
		}
	}
	lost := "i-000000"
	starts := 0
	for seq := uint64(1); seq < 10; seq++ {
		for _, c := range term.exchange(testReport(lost, 1, seq, 7)) {
			if c.Verb == protocol.VerbStart {
				starts++
			}
		}
	}
	if starts == 0 || starts > maxUndelivered*modelMachine {
		t.Errorf("%d starts were sent to a machine that never carried one out", starts)
	}
	if m := term.ledger.Machines[lost]; term.accepts(m, clock.now) || len(m.Attempts) > 0 {
		t.Error("a machine that gets no answers is given work")
	}
	if silent := term.silentMachines(clock.now); !silent[lost] || len(silent) != 1 {
		t.Errorf("to be released: %v", silent)
	}
}

// A machine that was thought to get no answers is told nothing any more, so no command can show
// that it hears again. Its session does: without an answer it would begin another one
// within its lease. Where too many got none for any to be returned, they would else
// never get work again, with jobs waiting.
func TestMachineWithAnswersGetsWorkAgain(t *testing.T) {
	term, clock := guardTerm(t, 8)
	const id = "i-000000"
	seq := uint64(0)
	report := func(session uint64) *cluster.Machine {
		seq++
		term.exchange(testReport(id, session, seq, 7))
		return term.ledger.Machines[id]
	}
	for range 10 {
		report(1)
	}
	m := report(1)
	if m.UndeliveredCommands < maxUndelivered {
		t.Fatal("the machine is not thought to get no answers")
	}
	// No answers still: a new session each lease.
	for session := uint64(2); session < 5; session++ {
		for range 8 {
			clock.now += modelLease / 8
			if report(session); m.UndeliveredCommands < maxUndelivered {
				t.Fatal("a machine that begins a new session with each lease is thought to hear")
			}
		}
	}
	for range 12 {
		clock.now += modelLease / 8
		if report(4); m.UndeliveredCommands == 0 && term.accepts(m, clock.now) {
			return
		}
	}
	t.Error("a machine that stays in its session beyond its lease is thought to get no answers")
}

// A machine that hears some of its answers gets enough of them.
func TestLostAnswerIsForgiven(t *testing.T) {
	term, clock := guardTerm(t, 8)
	var last []protocol.TaskStatus
	for seq := uint64(1); seq < 6; seq++ {
		r := testReport("i-000001", 1, seq, 7)
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
	if m := term.ledger.Machines["i-000001"]; m.UndeliveredCommands >= maxUndelivered || !term.accepts(m, clock.now) {
		t.Errorf("%d answers count as unheard", m.UndeliveredCommands)
	}
}

// Copies of reports come late, of machines that are gone or that this term does
// not know. They bring no room for work, confirm nothing and renew nothing.
func TestLateReportsChangeNothing(t *testing.T) {
	term, clock := guardTerm(t, 1)
	// Of a machine that worked under an earlier term and is gone.
	for seq := uint64(5); seq < 9; seq++ {
		if out := term.exchange(testReport("i-000001", 3, seq, 6)); len(out) > 0 {
			t.Fatalf("a machine that has not shown this term is sent %v", out)
		}
	}
	if term.accepts(term.ledger.Machines["i-000001"], clock.now) {
		t.Error("it may be given work")
	}
	// Of one that was released in this term, however late.
	term.observe(testReport("i-000002", 1, 1, 7), clock.now)
	term.ledger.RemoveMachine(term.ledger.Machines["i-000002"], clock.now)
	term.released.add("i-000002", clock.now)
	clock.now += 600 * units.Second
	if m := term.observe(testReport("i-000002", 1, 9, 7), clock.now); m != nil || term.ledger.Machines["i-000002"] != nil {
		t.Error("a released machine is back")
	}
	// Of one that is known: the older report has no effect.
	m := term.observe(testReport("i-000003", 2, 4, 7), clock.now)
	heard := m.LastHeartbeat
	clock.now += 5 * units.Second
	for _, r := range []*protocol.Heartbeat{testReport("i-000003", 2, 4, 7), testReport("i-000003", 1, 99, 7)} {
		if term.observe(r, clock.now) != nil || m.LastHeartbeat != heard {
			t.Error("an old report renews the machine's lease")
		}
	}
	// A machine stays unconfirmed whatever an earlier term's report says.
	j := term.ledger.Jobs["j-000001"]
	term.ledger.MarkUnreconciled(j, "i-000004")
	term.observe(testReport("i-000004", 1, 1, 6), clock.now)
	if !j.UnreconciledMachines["i-000004"] {
		t.Error("a report from before this term confirms a machine")
	}
}

// A machine's answer to the announcement confirms it, but only as its first word
// in the term. Once it has reported by itself, a start may be on its way to it
// that such a report does not show; taking the start for lost would run the task
// twice.
func TestAnnouncementIsOnlyAFirstWord(t *testing.T) {
	term, clock := guardTerm(t, 2)
	j := term.ledger.Jobs["j-000001"]
	term.ledger.MarkUnreconciled(j, "i-000001")
	term.ledger.EnsureMachine("i-000001", "m", "a", true, clock.now)
	term.announced(testReport("i-000001", 1, 5, 7))
	if len(j.UnreconciledMachines) > 0 {
		t.Error("a report that shows this term does not confirm the machine")
	}
	if out := term.exchange(testReport("i-000001", 1, 6, 7)); len(out) != 2 || out[0].Verb != protocol.VerbStart {
		t.Fatalf("no starts: %v", out)
	}
	term.announced(testReport("i-000001", 1, 7, 7))
	if len(j.LiveAttempts) != 2 {
		t.Error("starts that are on their way are taken for lost")
	}
	// A machine that the ledger does not know is not brought in this way.
	if term.announced(testReport("i-000009", 1, 1, 7)); term.ledger.Machines["i-000009"] != nil {
		t.Error("an unknown machine is taken in")
	}
}
