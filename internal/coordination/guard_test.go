package coordination

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// guardTerm is a leader of a job that is stored and waits.
func guardTerm(t *testing.T, tasks int) (*Term, *manualClock) {
	t.Helper()
	clock := &manualClock{now: 100 * units.Second}
	term := testTerm(7, clock)
	term.install(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Tasks = tasks
	term.ledger.NewJob(spec, clock.now, clock.now)
	term.save()
	return term, clock
}

// save carries out all saves that are due.
func (t *Term) save() {
	for {
		s := t.ledger.BuildSave(t.saveID(), t.bucketVersions, bookkeeping.SaveLimits{Tasks: true}, t.Clock.Steady())
		if s == nil {
			return
		}
		t.ledger.Applied(s, 1)
	}
}

// exchange is one report and its answer; saves that the answer needs are
// carried out first.
func (t *Term) exchange(r *protocol.Report) []protocol.Command {
	now := t.Clock.Steady()
	m := t.observe(r, now)
	if m == nil {
		return nil
	}
	t.lastRound = -units.Second
	t.round(now, m)
	t.save()
	return t.commands(m, r, now)
}

func testReport(machine string, session, seq, term uint64) *protocol.Report {
	return &protocol.Report{
		Machine: machine,
		Type:    "m",
		Zone:    "a",
		Spot:    true,
		Session: session,
		Seq:     seq,
		Term:    term,
	}
}

// A zone that is cut off falls silent as a whole while the rest of the fleet,
// which is much larger, reports. It must not be released: its machines work on
// and are back after the cut. A single machine of another zone is released.
func TestCutZoneIsKept(t *testing.T) {
	term, clock := guardTerm(t, 1)
	report := func(seq uint64, skip func(i int) bool) {
		for i := range 40 {
			r := testReport(fmt.Sprintf("i-%06d", i), 1, seq, 7)
			if i < 8 {
				r.Zone = "cut"
			}
			if !skip(i) {
				term.observe(r, clock.now)
			}
		}
	}
	report(1, func(int) bool { return false })
	for seq := uint64(2); seq < 8; seq++ {
		clock.now += units.Second
		report(seq, func(i int) bool { return i < 8 || i == 20 })
	}
	silent := term.silentMachines(clock.now)
	if len(silent) != 1 || !silent["i-000020"] {
		t.Fatalf("to be released: %v", silent)
	}
}

// A leader that begins while a zone is cut off knows the zone's machines from
// the cloud's list alone. They run: on a day of our own 147 of them were given
// away, as if they had never come up.
func TestZoneThatNeverReportedIsKept(t *testing.T) {
	term, clock := guardTerm(t, 1)
	for i, stage := range []string{protocol.MachineRunning, protocol.MachineRunning, protocol.MachineBooting} {
		m := term.ledger.Machine(fmt.Sprintf("i-%06d", i), "m", "cut", false, clock.now-500*units.Second)
		m.Stage = stage
	}
	clock.now += 90 * units.Second
	if names := term.unwanted(clock.now); len(names) != 1 || names[0] != "i-000002" {
		t.Errorf("to be released: %v", names)
	}
	clock.now += 200 * units.Second
	if names := term.unwanted(clock.now); len(names) != 3 {
		t.Errorf("to be released at last: %v", names)
	}
}

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
			if c.Verb == protocol.Start {
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
	report := func(session uint64) *bookkeeping.Machine {
		seq++
		term.exchange(testReport(id, session, seq, 7))
		return term.ledger.Machines[id]
	}
	for range 10 {
		report(1)
	}
	m := report(1)
	if m.Undelivered < maxUndelivered {
		t.Fatal("the machine is not thought to get no answers")
	}
	// No answers still: a new session each lease.
	for session := uint64(2); session < 5; session++ {
		for range 8 {
			clock.now += modelLease / 8
			if report(session); m.Undelivered < maxUndelivered {
				t.Fatal("a machine that begins a new session with each lease is thought to hear")
			}
		}
	}
	for range 12 {
		clock.now += modelLease / 8
		if report(4); m.Undelivered == 0 && term.accepts(m, clock.now) {
			return
		}
	}
	t.Error("a machine that stays in its session beyond its lease is thought to get no answers")
}

// A machine that hears some of its answers gets enough of them.
func TestLostAnswerIsForgiven(t *testing.T) {
	term, clock := guardTerm(t, 8)
	var last []protocol.TaskReport
	for seq := uint64(1); seq < 6; seq++ {
		r := testReport("i-000001", 1, seq, 7)
		r.Tasks = last
		out := term.exchange(r)
		if seq%2 == 0 { // every other answer is lost
			continue
		}
		last = nil
		for _, c := range out {
			if c.Verb == protocol.Start {
				var index int
				if _, err := fmt.Sscanf(c.Task, "j-000001/%d", &index); err != nil {
					t.Fatal(err)
				}
				last = append(last, protocol.TaskReport{
					Job:     "j-000001",
					Index:   index,
					Attempt: c.Attempt,
					Stage:   protocol.TaskExited,
					Cause:   protocol.CauseDone,
				})
			}
		}
	}
	if m := term.ledger.Machines["i-000001"]; m.Undelivered >= maxUndelivered || !term.accepts(m, clock.now) {
		t.Errorf("%d answers count as unheard", m.Undelivered)
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
	term.ledger.Remove(term.ledger.Machines["i-000002"], clock.now)
	term.markReleased("i-000002", clock.now)
	clock.now += 600 * units.Second
	if m := term.observe(testReport("i-000002", 1, 9, 7), clock.now); m != nil || term.ledger.Machines["i-000002"] != nil {
		t.Error("a released machine is back")
	}
	// Of one that is known: the older report has no effect.
	m := term.observe(testReport("i-000003", 2, 4, 7), clock.now)
	heard := m.LastAnswered
	clock.now += 5 * units.Second
	for _, r := range []*protocol.Report{testReport("i-000003", 2, 4, 7), testReport("i-000003", 1, 99, 7)} {
		if term.observe(r, clock.now) != nil || m.LastAnswered != heard {
			t.Error("an old report renews the machine's lease")
		}
	}
	// A machine stays unconfirmed whatever an earlier term's report says.
	j := term.ledger.Jobs["j-000001"]
	term.ledger.MarkUnconfirmed(j, "i-000004")
	term.observe(testReport("i-000004", 1, 1, 6), clock.now)
	if !j.Unconfirmed["i-000004"] {
		t.Error("a report from before this term confirms a machine")
	}
}

// Under an overload that goes on, with jobs of all sizes and priorities coming
// faster than they can be served, each job still begins within four minutes.
// By the order alone what is late waits behind all that comes after it.
func TestEveryJobBeginsUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{now: 100 * units.Second}
		term := testTerm(7, clock)
		term.install(nil, modelCatalog)
		due := map[string]units.Micros{}
		ends := map[bookkeeping.AttemptKey]units.Micros{}
		lasts := rapid.SliceOfN(rapid.IntRange(2, 8), 20, 20).Draw(t, "run times")
		every := rapid.IntRange(10, 20).Draw(t, "seconds between jobs")
		for step := range 400 {
			clock.now += units.Second
			if step%every == 0 {
				spec := *modelSpec(fmt.Sprintf("j-%06d", step))
				spec.Tasks = rapid.IntRange(40, 90).Draw(t, "tasks")
				spec.Need = cpus(rapid.IntRange(1, 3).Draw(t, "cpus"))
				spec.Priority = protocol.Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
				spec.Estimate = 5 * units.Second
				term.ledger.NewJob(spec, clock.now, clock.now)
				due[spec.ID] = clock.now + 240*units.Second
				term.save()
			}
			for i := range 2 {
				r := testReport(fmt.Sprintf("i-%06d", i), 1, uint64(step+1), 7)
				if m := term.ledger.Machines[r.Machine]; m != nil {
					for _, a := range m.Sorted() {
						if a.Stage == bookkeeping.Assigned {
							continue
						}
						key := bookkeeping.AttemptKey{Job: a.Job.Spec.ID, Index: a.Index, Number: a.Number}
						task := protocol.TaskReport{
							Job:     key.Job,
							Index:   key.Index,
							Attempt: key.Number,
							Stage:   protocol.TaskRunning,
						}
						if a.Stop || clock.now >= ends[key] {
							task.Stage, task.Cause = protocol.TaskExited, protocol.CauseDone
						}
						r.Tasks = append(r.Tasks, task)
					}
				}
				m := term.observe(r, clock.now)
				if step%3 == 0 {
					term.round(clock.now, m)
				} else {
					term.fill(m, clock.now)
				}
				term.save()
				term.commands(m, r, clock.now)
				for _, a := range m.Sorted() {
					key := bookkeeping.AttemptKey{Job: a.Job.Spec.ID, Index: a.Index, Number: a.Number}
					if a.Stage != bookkeeping.Assigned && ends[key] == 0 {
						ends[key] = clock.now + units.Second*units.Micros(lasts[int(a.Number)%len(lasts)])
						delete(due, key.Job)
					}
				}
			}
			for id, at := range due {
				if clock.now > at {
					t.Fatalf("%s of %d processors a task has not begun in four minutes", id, term.ledger.Jobs[id].Spec.Need.CPU/1_000_000)
				}
			}
		}
	})
}

// A machine's answer to the announcement confirms it, but only as its first word
// in the term. Once it has reported by itself, a start may be on its way to it
// that such a report does not show; taking the start for lost would run the task
// twice.
func TestAnnouncementIsOnlyAFirstWord(t *testing.T) {
	term, clock := guardTerm(t, 2)
	j := term.ledger.Jobs["j-000001"]
	term.ledger.MarkUnconfirmed(j, "i-000001")
	term.ledger.Machine("i-000001", "m", "a", true, clock.now)
	term.announced(testReport("i-000001", 1, 5, 7))
	if len(j.Unconfirmed) > 0 {
		t.Error("a report that shows this term does not confirm the machine")
	}
	if out := term.exchange(testReport("i-000001", 1, 6, 7)); len(out) != 2 || out[0].Verb != protocol.Start {
		t.Fatalf("no starts: %v", out)
	}
	term.announced(testReport("i-000001", 1, 7, 7))
	if len(j.Live) != 2 {
		t.Error("starts that are on their way are taken for lost")
	}
	// A machine that the ledger does not know is not brought in this way.
	if term.announced(testReport("i-000009", 1, 1, 7)); term.ledger.Machines["i-000009"] != nil {
		t.Error("an unknown machine is taken in")
	}
}

// A job that is late only if its estimate is right is not called late: on a day
// of the grown mills a job of 97 s by its estimate, due after 120 s, was put
// behind everything once it had waited 23 s.
func TestALittleLateByTheEstimateIsNotLate(t *testing.T) {
	term, clock := guardTerm(t, 1)
	term.Settings.Fleet.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 120}}
	j := term.ledger.Jobs["j-000001"]
	j.Spec.Estimate = 97 * units.Second
	for waited, late := range map[units.Micros]bool{10: false, 40: false, 70: true} {
		j.Submitted = clock.now - waited*units.Second
		if in := term.rankInput(j); in.Late != late {
			t.Errorf("after %d s: late %v", waited, in.Late)
		}
	}
}

// A job waits for tasks to end by themselves only where enough of them do: in a
// small fleet its tasks would start late for nothing.
func TestPatienceNeedsCompletions(t *testing.T) {
	term, clock := guardTerm(t, 10)
	j := term.ledger.Jobs["j-000001"]
	j.Spec.Priority = protocol.High
	for range 20 {
		term.completions.pass(clock.now)
		clock.now += units.Second
		term.completions.freed = cpus(4).CPU // a second, 8 in the patience of 2 s
	}
	j.Since = clock.now
	if term.patient(j, clock.now) {
		t.Error("a job of ten processors waits for eight")
	}
	j.Spec.Tasks = 7
	if !term.patient(j, clock.now) {
		t.Error("a job of seven processors does not wait for eight")
	}
	if term.patient(j, clock.now+2*units.Second) {
		t.Error("it waits for ever")
	}
}

// While machines are unconfirmed, a leader's regular look at the fleet costs no
// more for all that the records name: it once gathered every name of every job
// each time, 40 times a second, when a term begins and there is most to do.
func TestUnconfirmedMachinesCostNothing(t *testing.T) {
	allocs := func(jobs, machines int) float64 {
		term, clock := guardTerm(t, 1)
		for i := range jobs {
			j := term.ledger.NewJob(*modelSpec(fmt.Sprintf("j-%06d", i+2)), clock.now, clock.now)
			for k := range machines {
				term.ledger.MarkUnconfirmed(j, fmt.Sprintf("i-%06d", k))
			}
		}
		return testing.AllocsPerRun(20, func() { term.expire(clock.now) })
	}
	if few, many := allocs(2, 10), allocs(100, 1000); many > few+1 {
		t.Errorf("%v allocations for 100 jobs on 1,000 machines, %v for 2 on 10", many, few)
	}
}

// While much waits, rounds come every 25 ms. Going over the whole fleet for what has
// passed its time is not needed as often.
func TestTimeoutsAreCheckedFourTimesASecond(t *testing.T) {
	term, clock := guardTerm(t, 1)
	term.lastSummary = clock.now + units.Second // this term has no state service to count requests of
	checks := 0
	for range 40 {
		clock.now += roundPause
		before := term.lastTimeoutCheck
		term.checkTimeouts(clock.now)
		if term.lastTimeoutCheck != before {
			checks++
		}
	}
	if checks != 4 {
		t.Errorf("%d checks within a second", checks)
	}
}

// The jobs that a controller takes are bounded by its memory. What one is reckoned to
// take must leave room for everything else.
func TestJobsAtTheBoundLeaveRoom(t *testing.T) {
	const mostTaken = 0.5 // of what is reckoned
	for _, c := range []struct{ jobs, tasks int }{{400, 1}, {400, 3000}, {20, protocol.MaxTasks}} {
		term, clock := guardTerm(t, 1)
		before, reckonedBefore := heapInUse(), term.ledger.Memory()
		for i := range c.jobs {
			spec := *modelSpec(fmt.Sprintf("j-%06d", i+100))
			spec.Tasks = c.tasks
			job := term.ledger.NewJob(spec, clock.now, clock.now)
			for index := range c.tasks / 2 {
				term.ledger.Done(job, 2*index, clock.now)
			}
		}
		saveAll(term)
		taken, reckoned := float64(heapInUse()-before), float64(term.ledger.Memory()-reckonedBefore)
		if taken > reckoned*mostTaken {
			t.Errorf("%d jobs of %d tasks take %.0f bytes, reckoned are %.0f", c.jobs, c.tasks, taken, reckoned)
		}
		runtime.KeepAlive(term)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Each machine that is confirmed is struck off the jobs that name it and no others;
// the last one leaves nothing unconfirmed, whatever became of the jobs meanwhile.
func TestUnconfirmedEndsWithMachinesAndJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		term, clock := guardTerm(t, 1)
		l := term.ledger
		named := map[string]map[string]bool{}
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			spec := *modelSpec(fmt.Sprintf("j-%06d", i+2))
			j := l.NewJob(spec, clock.now, clock.now)
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 12).Draw(rt, "machines") {
				l.MarkUnconfirmed(j, fmt.Sprintf("i-%06d", k))
			}
			named[spec.ID] = j.Unconfirmed
		}
		for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(rt, "order") {
			id := fmt.Sprintf("i-%06d", k)
			want := 0
			for _, j := range l.Jobs {
				if len(j.Unconfirmed) > 0 {
					want++
				}
			}
			got := 0
			for range l.UnconfirmedJobs() {
				got++
			}
			if got != want {
				rt.Fatalf("%d jobs unconfirmed, %d name machines", got, want)
			}
			if jobs := sortedKeys(named); len(jobs) > 0 && rapid.Bool().Draw(rt, "a job ends first") {
				l.Drop(jobs[0])
				delete(named, jobs[0])
			}
			l.Confirm(id)
			if l.IsUnconfirmed(id) {
				rt.Fatal("a confirmed machine is unconfirmed")
			}
		}
		if l.UnconfirmedCount() != 0 || len(l.UnconfirmedMachines()) != 0 {
			rt.Fatalf("still unconfirmed: %v", l.UnconfirmedMachines())
		}
	})
}

// Where reports come seldom, a machine that died is noticed by the first report
// that it misses, and one whose report merely got no answer is not given away:
// it waits 4 s, and comes back a second later. On a day of the fleet's, tasks of
// 75 dead machines waited for 15 s before they started elsewhere.
func TestSilenceWhereReportsComeSeldom(t *testing.T) {
	for _, seconds := range []float64{3, 5, 10, 30} {
		term, clock := guardTerm(t, 1)
		term.Settings.Fleet.Workers.ReportS = seconds
		gap := units.Seconds(seconds).Share(5, 4)
		for i := range 5 {
			term.observe(testReport(fmt.Sprintf("i-%06d", i), 1, 1, 7), clock.now)
		}
		clock.now += gap + 5*units.Second
		for i := range 4 {
			term.observe(testReport(fmt.Sprintf("i-%06d", i), 1, 2, 7), clock.now)
		}
		if len(term.silentMachines(clock.now)) != 0 {
			t.Errorf("reports every %v s: one that got no answer counts as silence", seconds)
		}
		clock.now += 1100 * units.Millisecond
		if silent := term.silentMachines(clock.now); !silent["i-000004"] || len(silent) != 1 {
			t.Errorf("reports every %v s: silent are %v", seconds, silent)
		}
	}
}

// One report, the end of one task and one save cost the same however many
// machines and jobs there are besides: a leader of a thousand machines takes in
// hundreds of reports a second.
func TestOneStepCostsTheSameInALargeFleet(t *testing.T) {
	steps := func(machines int) map[string]float64 {
		term, reports := busyTerm(machines)
		i := 0
		next := func() *protocol.Report {
			i++
			r := reports[i%len(reports)]
			r.Seq += 10
			return r
		}
		done := 0
		return map[string]float64{
			"report": testing.AllocsPerRun(100, func() {
				r := next()
				term.commands(term.observe(r, units.Second), r, units.Second)
			}),
			"end of a task": testing.AllocsPerRun(100, func() {
				m := term.ledger.Machines[next().Machine]
				term.ledger.Gone(m.Sorted()[0], units.Second)
				term.fill(m, units.Second)
			}),
			"save": testing.AllocsPerRun(100, func() {
				done++
				j := term.ledger.Jobs["j-000299"]
				term.ledger.Done(j, done, units.Second)
				j.Changed(units.Second, true)
				s := term.ledger.BuildSave("1-1", term.bucketVersions, bookkeeping.SaveLimits{}, units.Second)
				term.ledger.Applied(s, 1)
			}),
		}
	}
	small, large := steps(20), steps(240)
	for step, allocs := range large {
		if allocs > 1.6*small[step] {
			t.Errorf("%s: %v allocations on 20 machines, %v on 240", step, small[step], allocs)
		}
	}
}

// When more is to be written than may be, what a user waits for goes first.
func TestUsersAreSavedFirst(t *testing.T) {
	term, clock := guardTerm(t, 1)
	for i := range 40 {
		term.ledger.NewJob(*modelSpec(fmt.Sprintf("j-%06d", i+2)), clock.now, clock.now)
	}
	term.save()
	for _, j := range term.ledger.Jobs {
		term.ledger.Done(j, 0, clock.now)
		j.Changed(clock.now, true)
	}
	clock.now += units.Second
	term.ledger.NewJob(*modelSpec("j-000100"), clock.now, clock.now)
	term.cancelJob(term.ledger.Jobs["j-000030"])
	s := term.ledger.BuildSave("x", term.bucketVersions, bookkeeping.SaveLimits{}, clock.now)
	if first := s.Jobs()[:2]; !slices.Contains(first, "j-000100") || !slices.Contains(first, "j-000030") {
		t.Errorf("saved first: %v", first)
	}
}

// A start whose save is a little late goes with the next report, which is seconds
// away where reports come seldom: there the answer waits longer for the save, and
// always far less than the 4 s after which the worker gives up.
func TestAnswersWaitForSavesByThePaceOfReports(t *testing.T) {
	term, _ := guardTerm(t, 1)
	for seconds, want := range map[float64]units.Micros{0.8: 150, 3: 300, 5: 500, 60: 500} {
		term.Settings.Fleet.Workers.ReportS = seconds
		if got := term.durableWait(); got != want*units.Millisecond {
			t.Errorf("reports every %v s: %d ms", seconds, got/units.Millisecond)
		}
	}
}

// A report that shows nothing new is compared with the ledger hundreds of times a
// second on a small machine: it leaves nothing for the collector, however many tasks
// the machine has and whatever would be logged of them.
func TestReportWithoutNewsAllocatesNothing(t *testing.T) {
	term, reports := busyTerm(20)
	r := reports[0]
	if len(r.Tasks) < 10 {
		t.Fatalf("the machine has only %d tasks", len(r.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		r.Seq++
		m := term.observe(r, units.Second)
		if out := term.commands(m, r, units.Second); len(out) > 0 {
			t.Errorf("commands for nothing new: %v", out)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations", allocs)
	}
}
