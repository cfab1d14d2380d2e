package coordination

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// This file plays random days against the leader's core: workers as the
// protocol describes them, a state service, leaders that die at any point,
// answers that are lost or late. Controllers of the version before are upgraded
// one by one meanwhile, and the state service lowers its limits once all are.
// After every step it checks on the workers themselves, not on the leader's
// books, what must never happen.

type manualClock struct{ now units.Micros }

func (c *manualClock) Steady() units.Micros { return c.now }
func (c *manualClock) Wall() units.Micros   { return c.now }

const (
	modelLease   = 10 * units.Second
	modelCancel  = 11 * units.Second
	workerWaits  = 4 * units.Second
	modelLimit   = 9 // processors of the team
	modelMachine = 4 // processors of a machine
)

func modelSettings() *config.Settings {
	return &config.Settings{Node: "n", Fleet: config.Fleet{Zones: []string{"a"},
		Teams:   []config.Team{{Name: "team", CPUs: 4, CPUsMax: modelLimit}},
		Workers: config.Workers{ReportS: 1, LeaseS: modelLease.Seconds(), CancelS: modelCancel.Seconds()},
		State: config.State{
			RPS:      100,
			WriteRPS: 50,
			ValueKB:  8,
			TxnOps:   12,
			Next:     &config.State{ValueKB: 1, TxnOps: 3},
		},
		Resources: config.Resources{CoreShare: 1, RAMMB: 100, MaxConnections: 100}}}
}

var modelCatalog = protocol.Catalog{Types: []protocol.MachineType{
	{
		Name:      "m",
		CPUs:      modelMachine,
		MemoryGB:  64,
		CacheGB:   10,
		Price:     1,
		SpotPrice: 1,
		BootS:     5,
		Zones:     []string{"a"},
	}}}

// testTerm makes a term whose lease holds until it is taken from it.
func testTerm(number uint64, clock units.Clock) *Term {
	settings := modelSettings()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	lease := NewFleetLease("n", nil, clock, TimingFor(modelLease), rand.New(rand.NewPCG(1, number)), log)
	lease.holding, lease.term, lease.validUntil = true, number, 1<<60
	return NewTerm(number, Deps{
		Settings:    settings,
		Policy:      config.DefaultPolicy(),
		Lease:       lease,
		Clock:       clock,
		Log:         log,
		Metrics:     NewMetrics(),
		Format:      NewFleetFormat("n", nil, nil, log),
		Unreached:   func() int { return 0 },
		PeerInReach: func() bool { return false },
	})
}

type modelStore struct {
	items    map[string]protocol.Item
	revision uint64
	limits   config.State
}

// takes tells whether a transaction is within the limits.
func (s *modelStore) takes(txn protocol.Txn) bool {
	for _, c := range txn.Then {
		if len(c.Value)*5/4 > s.limits.ValueBytes() { // as JSON it is a little larger
			return false
		}
	}
	return len(txn.Then) <= s.limits.TxnOps && len(txn.If) <= 4*s.limits.TxnOps
}

// commit gives the keys that were not as expected, none if it was carried out.
func (s *modelStore) commit(t *rapid.T, txn protocol.Txn) (uint64, []string) {
	var failed []string
	for _, c := range txn.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, failed
	}
	if !s.takes(txn) {
		t.Fatalf("transaction of %d changes, %d conditions", len(txn.Then), len(txn.If))
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(s.items, c.Delete)
		} else {
			s.items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: s.revision}
		}
	}
	return s.revision, nil
}

type modelTask struct {
	attempt uint64
	stage   protocol.TaskStage
	cause   protocol.Cause
}

type taskKey struct {
	job   string
	index int
}

type modelWorker struct {
	id            string
	alive         bool
	session, seq  uint64
	token         uint64
	leaseFrom     units.Micros
	tasks         map[taskKey]modelTask
	awaited       bool // a report is in flight
	sentAt        units.Micros
	answer        *protocol.ReportAnswer // on its way
	reportSession uint64
	answersLost   bool // its reports arrive, answers do not reach it
	reportsLost   bool // it reaches no controller; direct commands reach it
	hungUntil     units.Micros
}

func (m *model) hung(w *modelWorker) bool { return m.clock.now < w.hungUntil }

// told is a worker's answer to an announcement, on its way.
type told struct {
	to     *Term
	report *protocol.Report
}

type model struct {
	t         *rapid.T
	clock     *manualClock
	store     *modelStore
	leader    *Term
	terms     uint64
	workers   []*modelWorker
	save      *bookkeeping.Save // the leader's, on its way
	orphans   []*bookkeeping.Save
	held      []*protocol.Report // held back by the network; their workers have given up
	jobs      map[string]int     // tasks of each job submitted
	completed map[taskKey]bool
	finals    map[string]protocol.Stage
	told      []told
	leadsNew  bool // the leader is of the new version
	saveNew   bool // the save on its way was built in the new form
	specs     []protocol.JobSpec
	arrivals  []protocol.Txn // jobs on their way to the inbox
	nodes     []modelNode
	services  map[string]bool
	calm      bool                    // all troubles are over
	repeats   []protocol.Txn          // transactions that were carried out
	confirmed map[string]units.Micros // when a user could be told that a job is cancelled
}

// modelNode is a controller.
type modelNode struct {
	upgraded bool
	told     bool // it has said, durably, that it reads the new form
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// put writes a key of the state service.
func (m *model) put(key string, value any) {
	m.store.revision++
	m.store.items[key] = protocol.Item{Key: key, Value: protocol.Encode(value), Version: m.store.revision}
}

// formats gives what the controllers have said, and the fleet's format.
func (m *model) formats() map[string]stored {
	known := map[string]stored{}
	for key, item := range m.store.items {
		var r bookkeeping.FormatRecord
		if strings.HasPrefix(key, bookkeeping.PrefixFormats) && protocol.Decode(item.Value, &r) == nil {
			known[key] = stored{r.Format, item.Version}
		}
	}
	return known
}

// upgrade starts a controller with the new version, which says so a while later;
// if it leads, its term ends.
func (m *model) upgrade() {
	// The first one mostly gets its turn late, long after the others.
	i := rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2}).Draw(m.t, "controller")
	switch n := &m.nodes[i]; {
	case !n.upgraded:
		n.upgraded = true
		if rapid.IntRange(0, 2).Draw(m.t, "it led") == 0 {
			m.crash()
		}
	case !n.told:
		n.told = true
		m.put(bookkeeping.KeyFormat(nodeName(i)), bookkeeping.FormatRecord{Format: bookkeeping.Format})
	}
}

// raise has a leader of the new version do what it can about the fleet's format.
// It may die, or hear of it only later.
func (m *model) raise() {
	known := m.formats()
	level := known[bookkeeping.KeyFleetFormat].format
	if !m.leadsNew {
		return
	}
	var names []string
	for i := range m.nodes {
		names = append(names, nodeName(i))
	}
	if all := readByAll(names, known); all > max(level, bookkeeping.FormatOld) {
		level = all
		m.put(bookkeeping.KeyFleetFormat, bookkeeping.FormatRecord{Format: level})
	}
	if m.calm || rapid.Bool().Draw(m.t, "the leader hears of it") {
		m.learn(level)
	}
}

func (m *model) learn(level int) {
	if level > m.leader.Format.Level() {
		m.leader.Format.level.Store(int64(level))
	}
	m.leader.ledger.UpgradeFormat(m.leader.Format.Level(), m.clock.now)
}

// fall lowers the limits of the state service, some time after the upgrade.
func (m *model) fall() {
	if m.formats()[bookkeeping.KeyFleetFormat].format >= bookkeeping.FormatNew {
		m.store.limits = m.store.limits.Both()
	}
}

// begin makes any of the controllers the leader.
func (m *model) begin() {
	m.terms++
	m.leader = testTerm(m.terms, m.clock)
	m.leadsNew = rapid.SampledFrom(m.nodes).Draw(m.t, "leader").upgraded
	// The claim changes every bucket's head, so older saves fail from now on.
	for b := range bookkeeping.Buckets {
		m.store.revision++
		key := bookkeeping.KeyHead(b)
		m.store.items[key] = protocol.Item{Key: key, Version: m.store.revision}
		m.leader.bucketVersions[b] = m.store.revision
	}
	var rows []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if len(key) > 4 && key[:4] == bookkeeping.PrefixJobs {
			rows = append(rows, m.store.items[key])
		}
	}
	if !m.leadsNew {
		if _, err := standin.ReadAsBefore(rows); err != nil {
			m.t.Fatalf("a leader of the version before cannot restore: %v", err)
		}
	}
	jobs, orphans, err := bookkeeping.ParseJobs(rows)
	if err != nil {
		m.t.Fatalf("restore: %v", err)
	}
	for id, keys := range orphans {
		if m.store.items[bookkeeping.KeyFinal(id)].Version == 0 {
			m.t.Fatalf("%s is not over, and has no record of its own", id)
		}
		m.leader.ledger.Leave(id, keys)
	}
	if m.leadsNew {
		// It reads the fleet's format before the records.
		m.leader.Format.level.Store(int64(max(m.formats()[bookkeeping.KeyFleetFormat].format, bookkeeping.FormatOld)))
	}
	m.leader.install(jobs, modelCatalog)
}

func (m *model) submit() {
	if len(m.jobs) >= 6 {
		return
	}
	m.leader.ledger.NewJob(m.draw(), m.clock.now, m.clock.now)
}

// draw makes a new job.
func (m *model) draw() protocol.JobSpec {
	id := fmt.Sprintf("j-%06d", len(m.jobs))
	spec := protocol.JobSpec{
		ID:       id,
		Class:    "c",
		Team:     "team",
		Tasks:    rapid.IntRange(1, 6).Draw(m.t, "tasks"),
		Need:     cpus(rapid.IntRange(1, 3).Draw(m.t, "cpus")),
		Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(m.t, "priority")),
		Spot:     true,
		Image:    "i",
		Estimate: 10 * units.Second,
	}
	// One service at most: with two, a larger task might find no machine left.
	if len(m.services) == 0 && m.leader.Format.Level() >= bookkeeping.FormatNew && rapid.IntRange(0, 2).Draw(m.t, "a service") == 0 {
		spec.Shape, spec.Tasks, spec.Need, spec.Priority, spec.Estimate = protocol.Service, min(spec.Tasks, 2), cpus(1), protocol.Production, 0
		m.services[id] = true
	}
	m.jobs[id] = spec.Tasks
	m.specs = append(m.specs, spec)
	return spec
}

// arrive has another controller accept a job, a new one or one that the leader
// has too: at once, or with a transaction that is held back.
func (m *model) arrive() {
	var spec protocol.JobSpec
	switch {
	case len(m.specs) > 0 && rapid.Bool().Draw(m.t, "a repeat"):
		spec = rapid.SampledFrom(m.specs).Draw(m.t, "arrival")
	case len(m.jobs) < 6:
		spec = m.draw()
	default:
		return
	}
	m.arrivals = append(m.arrivals, bookkeeping.ArrivalTxn(bookkeeping.Arrival{
		Spec:      spec,
		Submitted: m.clock.now,
	}))
	if rapid.Bool().Draw(m.t, "accepted at once") {
		m.land()
	}
}

// land carries out the arrivals on their way.
func (m *model) land() {
	for _, txn := range m.arrivals {
		m.store.commit(m.t, txn)
	}
	m.arrivals = nil
}

// inbox lists what no leader has taken in.
func (m *model) inbox() []protocol.Item {
	var items []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if strings.HasPrefix(key, bookkeeping.PrefixInbox) {
			items = append(items, m.store.items[key])
		}
	}
	return items
}

// collect has the leader take the inbox in.
func (m *model) collect() {
	for _, item := range m.inbox() {
		a, err := bookkeeping.ParseArrival(item)
		if err != nil {
			m.t.Fatal(err)
		}
		if _, over := m.leader.finals.get(a.Spec.ID); over {
			delete(m.store.items, item.Key)
			continue
		}
		m.leader.ledger.TakeIn(a, m.clock.now)
	}
}

func (m *model) report() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && !w.awaited && !w.reportsLost && !m.hung(w) {
		m.reportOf(w)
	}
}

// report makes a worker's report of now.
func (w *modelWorker) report() *protocol.Report {
	w.seq++
	r := &protocol.Report{
		Machine: w.id,
		Type:    "m",
		Zone:    "a",
		Spot:    true,
		Session: w.session,
		Seq:     w.seq,
		Term:    w.token,
	}
	keys := slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index })
	for _, k := range keys {
		task := w.tasks[k]
		r.Tasks = append(r.Tasks, protocol.TaskReport{
			Job:     k.job,
			Index:   k.index,
			Attempt: task.attempt,
			Stage:   task.stage,
			Cause:   task.cause,
		})
	}
	return r
}

func (m *model) reportOf(w *modelWorker) {
	r := w.report()
	w.awaited, w.sentAt, w.reportSession, w.answer = true, m.clock.now, w.session, nil
	if !m.calm && rapid.IntRange(0, 5).Draw(m.t, "report copied") == 0 {
		m.held = append(m.held, r) // the copy comes at any later time
	}
	if !m.calm && rapid.IntRange(0, 4).Draw(m.t, "report held back") == 0 {
		m.held = append(m.held, r)
		return
	}
	w.answer = m.serve(r)
}

func (m *model) serve(r *protocol.Report) *protocol.ReportAnswer {
	t, now := m.leader, m.clock.now
	machine := t.observe(r, now)
	if machine == nil {
		return nil
	}
	t.expire(now)
	t.round(now, machine)
	return &protocol.ReportAnswer{Term: t.number, Commands: t.commands(machine, r, now)}
}

// late brings the leader a report that was held back. Nobody waits for the
// answer any more.
func (m *model) late() {
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(m.t, "held report")
	r := m.held[i]
	for _, w := range m.workers {
		if w.id == r.Machine && w.awaited && w.seq == r.Seq && w.session == r.Session {
			return // it still waits
		}
	}
	m.held = slices.Delete(m.held, i, i+1)
	m.serve(r)
}

// deliver brings a worker the answer it waits for, or lets it give up.
func (m *model) deliver() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); w.alive && w.awaited && !m.hung(w) {
		m.deliverTo(w)
	}
}

func (m *model) deliverTo(w *modelWorker) {
	lost := w.answersLost || !m.calm && rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0
	a := w.answer
	w.awaited, w.answer = false, nil
	if lost || a == nil || m.clock.now-w.sentAt > workerWaits || a.Term < w.token || w.reportSession != w.session {
		return
	}
	w.token, w.leaseFrom = a.Term, w.sentAt
	for _, c := range a.Commands {
		m.execute(w, c)
	}
}

func (m *model) execute(w *modelWorker, c protocol.Command) {
	var k taskKey
	if _, err := fmt.Sscanf(c.Task, "j-%06d/%d", new(int), &k.index); err != nil {
		m.t.Fatalf("command names %q", c.Task)
	}
	k.job = c.Task[:8]
	task, here := w.tasks[k]
	switch c.Verb {
	case protocol.Start:
		if here && (task.attempt == c.Attempt || task.stage != protocol.TaskExited) {
			return
		}
		for _, o := range m.workers {
			if other, ok := o.tasks[k]; ok && o != w && o.alive && other.stage != protocol.TaskExited {
				m.t.Fatalf("%s starts on %s while it is on %s", c.Task, w.id, o.id)
			}
		}
		if m.finals[k.job] != "" {
			m.t.Fatalf("%s starts though its job is over", c.Task)
		}
		w.tasks[k] = modelTask{attempt: c.Attempt, stage: protocol.TaskRunning}
	case protocol.Stop:
		if here && task.attempt == c.Attempt && task.stage != protocol.TaskExited {
			w.tasks[k] = modelTask{c.Attempt, protocol.TaskExited, protocol.CauseStopped}
		}
	case protocol.Forget:
		if here && task.attempt == c.Attempt && task.stage == protocol.TaskExited {
			delete(w.tasks, k)
		}
	}
}

func (m *model) work() {
	if w := rapid.SampledFrom(m.workers).Draw(m.t, "worker"); !m.hung(w) {
		m.workOn(w)
	}
}

func (m *model) workOn(w *modelWorker) {
	for _, k := range slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index }) {
		task := w.tasks[k]
		if task.stage != protocol.TaskRunning || m.calm && m.services[k.job] {
			continue
		}
		task.stage = protocol.TaskExited
		if task.cause = protocol.CauseError; m.calm || rapid.IntRange(0, 7).Draw(m.t, "fails") > 0 {
			task.cause = protocol.CauseDone
			m.completed[k] = !m.services[k.job]
		}
		w.tasks[k] = task
		return
	}
}

func (m *model) pass() {
	m.clock.now += units.Micros(rapid.IntRange(100, 6000).Draw(m.t, "ms")) * units.Millisecond
	for _, w := range m.workers {
		m.leaseOf(w)
	}
	m.leader.expire(m.clock.now)
}

// leaseOf lets a worker begin its next session when its lease has run out.
func (m *model) leaseOf(w *modelWorker) {
	if w.alive && !m.hung(w) && m.clock.now-w.leaseFrom > modelLease {
		w.session++
		w.leaseFrom = m.clock.now
		clear(w.tasks)
	}
}

// write sends the leader's next save, or completes the one on its way.
func (m *model) write() {
	l := m.leader.ledger
	if m.save == nil {
		m.saveNew = m.leader.Format.Level() >= bookkeeping.FormatNew
		l.UpgradeFormat(m.leader.Format.Level(), m.clock.now)
		m.save = l.BuildSave(m.leader.saveID(), m.leader.bucketVersions, bookkeeping.SaveLimits{
			Lazy:  units.Second,
			Tasks: true,
		}, m.clock.now)
		return
	}
	if !m.store.takes(m.save.Txn) {
		// Only what was built before the leader heard that all are upgraded.
		l.ApplyNextLimits()
		if m.saveNew {
			m.t.Fatalf("a save in the new form is over the limits: %d changes", len(m.save.Txn.Then))
		}
		l.Rejected(m.save, m.clock.now)
		m.save = nil
		return
	}
	rev, failed := m.store.commit(m.t, m.save.Txn)
	if len(failed) > 0 {
		l.Refused(m.save, m.clock.now)
		for _, key := range failed {
			id, final := bookkeeping.JobOfFinal(key)
			if !final || m.finals[id] == "" {
				m.t.Fatalf("a leader's own save met a conflict: %v", failed)
			}
			m.leader.finals.put(id, bookkeeping.Final{Stage: m.finals[id]})
			l.Drop(id) // it was in the inbox still
		}
		m.save = nil
		return
	}
	if m.save.Probe() != "" {
		m.repeats = append(m.repeats, m.save.Txn)
	}
	for id, f := range l.Applied(m.save, rev) {
		m.over(id, f)
	}
	m.save = nil
}

// repeat carries a transaction out late, once more: its first sending had no answer,
// and newer ones came between. It must have no effect.
func (m *model) repeat() {
	if len(m.repeats) == 0 {
		return
	}
	txn := rapid.SampledFrom(m.repeats).Draw(m.t, "carried out late")
	if !m.store.takes(txn) {
		return
	}
	if _, failed := m.store.commit(m.t, txn); len(failed) == 0 {
		m.t.Fatal("a transaction was carried out twice")
	}
}

func (m *model) over(id string, f bookkeeping.Final) {
	m.finals[id] = f.Stage
	if m.confirmed[id] != 0 && f.Stage != protocol.StageCancelled {
		m.t.Fatalf("%s was called cancelled, and is now %s", id, f.Stage)
	}
	if m.services[id] && f.Stage != protocol.StageCancelled {
		m.t.Fatalf("the service %s is called %s", id, f.Stage)
	}
	if f.Stage != protocol.StageDone {
		return
	}
	for i := range m.jobs[id] {
		if !m.completed[taskKey{id, i}] {
			m.t.Fatalf("%s is called done without task %d", id, i)
		}
	}
}

// crash ends the leader. What it had sent may be carried out before the next
// leader claims the buckets; later it must fail.
func (m *model) crash() {
	if m.save != nil {
		if m.store.takes(m.save.Txn) && rapid.Bool().Draw(m.t, "save carried out") {
			if _, failed := m.store.commit(m.t, m.save.Txn); len(failed) == 0 {
				for _, c := range m.save.Txn.Then {
					if id, final := bookkeeping.JobOfFinal(c.Set); final {
						var f bookkeeping.Final
						if protocol.Decode(c.Value, &f) == nil {
							m.over(id, f)
						}
					}
				}
			}
		} else {
			m.orphans = append(m.orphans, m.save)
		}
		m.save = nil
	}
	m.begin()
	for _, s := range m.orphans {
		if !m.store.takes(s.Txn) {
			continue
		}
		if _, failed := m.store.commit(m.t, s.Txn); len(failed) == 0 {
			m.t.Fatalf("a former leader's save was carried out after the claim")
		}
	}
}

func (m *model) cancel() {
	ids := slices.Sorted(maps.Keys(m.leader.ledger.Jobs))
	if len(ids) == 0 {
		return
	}
	if j := m.leader.ledger.Jobs[rapid.SampledFrom(ids).Draw(m.t, "job")]; j.Accepted() {
		m.leader.cancelJob(j)
	}
}

// release returns a machine to the cloud; by its answer the machine is gone.
func (m *model) release() {
	m.releaseWorker(rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "released"))
}

func (m *model) releaseWorker(i int) {
	w := m.workers[i]
	w.alive = false
	t, now := m.leader, m.clock.now
	t.markReleased(w.id, now)
	if machine := t.ledger.Machines[w.id]; machine != nil {
		t.ledger.Remove(machine, now)
	} else {
		t.ledger.Confirm(w.id)
	}
	m.workers[i] = m.newWorker()
}

func (m *model) newWorker() *modelWorker {
	id := fmt.Sprintf("i-%06d", m.store.revision*10+uint64(len(m.workers)))
	m.store.revision++
	return &modelWorker{
		id:        id,
		alive:     true,
		session:   1,
		leaseFrom: m.clock.now,
		tasks:     map[taskKey]modelTask{},
	}
}

func (m *model) check() {
	for id, j := range m.leader.ledger.Jobs {
		if m.confirmed[id] == 0 && cancelled(j, m.leader.Settings.Fleet.Workers) {
			m.confirmed[id] = m.clock.now
		}
	}
	used := 0
	for _, w := range m.workers {
		if !w.alive {
			continue
		}
		onMachine := 0
		for k, task := range w.tasks {
			if task.stage == protocol.TaskExited {
				continue
			}
			if at := m.confirmed[k.job]; at != 0 && m.clock.now-at > modelCancel && !m.hung(w) {
				m.t.Fatalf("%s/%d is on %s %v after its user was told", k.job, k.index, w.id, (m.clock.now - at).Duration())
			}
			need := m.need(k.job)
			used += need
			onMachine += need
		}
		if onMachine > modelMachine {
			m.t.Fatalf("%s runs %d processors", w.id, onMachine)
		}
	}
	if used > modelLimit {
		m.t.Fatalf("the team uses %d of %d processors", used, modelLimit)
	}
}

// announce tells a worker the term; its answer may come late.
func (m *model) announce() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if !w.alive || w.answersLost || m.hung(w) {
		return
	}
	w.token = m.leader.number
	m.leader.ledger.Machine(w.id, "m", "a", true, m.clock.now)
	m.told = append(m.told, told{m.leader, w.report()})
	if rapid.Bool().Draw(m.t, "answered at once") {
		m.hearTold()
	}
}

// hearTold brings the leader the answers to its announcements.
func (m *model) hearTold() {
	for _, a := range m.told {
		if a.to == m.leader {
			a.to.announced(a.report)
		}
	}
	m.told = nil
}

// finishUpgrade upgrades the controllers that are left, if the day is one of
// those on which that happens, and has the limits fall.
func (m *model) finishUpgrade() {
	if rapid.IntRange(0, 3).Draw(m.t, "the upgrade ends") == 0 {
		return
	}
	for i := range m.nodes {
		m.nodes[i].upgraded, m.nodes[i].told = true, true
		m.put(bookkeeping.KeyFormat(nodeName(i)), bookkeeping.FormatRecord{Format: bookkeeping.Format})
	}
	if !m.leadsNew {
		m.crash()
	}
	m.raise()
	m.fall()
}

// loseAnswers cuts a worker off from answers, or ends that.
func (m *model) loseAnswers() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.answersLost = !w.answersLost
}

// loseReports keeps a worker's reports from all controllers, or ends that.
func (m *model) loseReports() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.reportsLost = !w.reportsLost
}

// hang stops a worker for a while, and cancels a job that runs there.
func (m *model) hang() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	w.hungUntil = m.clock.now + units.Micros(rapid.IntRange(500, 15000).Draw(m.t, "hangs ms"))*units.Millisecond
	m.cancelOn(w)
}

// cancelAtEnd cancels a job at the moment at which a task of it may end.
func (m *model) cancelAtEnd() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.hung(w) {
		return
	}
	if rapid.Bool().Draw(m.t, "ends before") {
		m.workOn(w)
		m.cancelOn(w)
	} else {
		m.cancelOn(w)
		m.workOn(w)
	}
}

// cancelOn cancels a job that a worker holds.
func (m *model) cancelOn(w *modelWorker) {
	for _, k := range slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int { return len(a.job) - len(b.job) + a.index - b.index }) {
		if j := m.leader.ledger.Jobs[k.job]; j != nil && j.Accepted() && m.jobs[k.job]%2 == 0 {
			m.leader.cancelJob(j)
			return
		}
	}
}

// endTroubles ends all troubles and plays on until every accepted job that was not
// cancelled is done. Nothing may be forgotten, and nothing may wait for ever.
func (m *model) endTroubles() {
	m.calm = true
	for _, w := range m.workers {
		w.answersLost, w.reportsLost, w.hungUntil = false, false, 0
	}
	m.finishUpgrade()
	m.land()
	accepted := map[string]bool{}
	for _, item := range m.inbox() {
		a, _ := bookkeeping.ParseArrival(item)
		accepted[a.Spec.ID] = m.finals[a.Spec.ID] == "" && m.leader.ledger.Jobs[a.Spec.ID] == nil
	}
	for id, j := range m.leader.ledger.Jobs {
		accepted[id] = (j.Accepted() || accepted[id]) && !j.Cancelled
	}
	for range 600 {
		m.clock.now += 500 * units.Millisecond
		m.collect()
		for range 4 {
			m.write()
		}
		m.leader.expire(m.clock.now)
		for i := range m.workers {
			w := m.workers[i]
			m.leaseOf(w)
			if machine := m.leader.ledger.Machines[w.id]; machine != nil && (machine.SetAside || machine.Undelivered >= maxUndelivered) {
				m.releaseWorker(i)
				continue
			}
			if w.awaited && m.clock.now-w.sentAt > workerWaits {
				w.awaited, w.answer = false, nil
			}
			if !w.awaited {
				m.reportOf(w)
			}
			m.deliverTo(w)
			m.workOn(w)
			m.check()
		}
	}
	if left := m.inbox(); len(left) > 0 {
		m.t.Fatalf("%d jobs are in the inbox long after all troubles", len(left))
	}
	for id, open := range accepted {
		if open && m.services[id] {
			if up := m.running(id); up != m.jobs[id] {
				m.t.Fatalf("%d of %d replicas of %s run long after all troubles", up, m.jobs[id], id)
			}
			continue
		}
		if open && m.finals[id] != protocol.StageDone {
			j := m.leader.ledger.Jobs[id]
			m.t.Fatalf("%s is not done long after all troubles: final %q, known %v", id, m.finals[id], j != nil)
		}
	}
}

// running counts the tasks of a job that run on workers.
func (m *model) running(job string) int {
	n := 0
	for _, w := range m.workers {
		for k, task := range w.tasks {
			if k.job == job && w.alive && task.stage == protocol.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (m *model) need(job string) int {
	if j := m.leader.ledger.Jobs[job]; j != nil {
		return int(j.Spec.Need.CPU / 1_000_000)
	}
	return 0
}

func TestRandomDaysKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:        t,
			clock:    &manualClock{now: units.Second},
			nodes:    make([]modelNode, 3),
			services: map[string]bool{},
			store: &modelStore{
				items:  map[string]protocol.Item{},
				limits: config.State{ValueKB: 8, TxnOps: 12, Next: &config.State{ValueKB: 1, TxnOps: 3}},
			},
			confirmed: map[string]units.Micros{},
			jobs:      map[string]int{},
			completed: map[taskKey]bool{},
			finals:    map[string]protocol.Stage{},
		}
		// Some days begin with far more machines than the team can use.
		for range rapid.SampledFrom([]int{2, 2, 2, 2, 16}).Draw(t, "machines") {
			m.workers = append(m.workers, m.newWorker())
		}
		if rapid.Bool().Draw(t, "upgraded before") {
			for i := range m.nodes {
				m.nodes[i] = modelNode{true, true}
				m.put(bookkeeping.KeyFormat(nodeName(i)), bookkeeping.FormatRecord{Format: bookkeeping.Format})
			}
		}
		m.begin()
		actions := []func(){m.submit, m.report, m.report, m.report, m.deliver, m.deliver, m.deliver, m.work, m.work,
			m.write, m.write, m.write, m.pass, m.crash, m.cancel, m.release, m.late, m.loseAnswers, m.announce, m.hearTold, m.arrive, m.land, m.collect, m.upgrade, m.raise, m.fall, m.loseReports, m.hang, m.cancelAtEnd, m.repeat}
		weights := []int{0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 12, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 1, 4, 2, 5, 3, 6, 13, 13, 14, 15, 16, 16, 17, 18, 18, 19, 20, 21, 22, 22, 23, 23, 23, 23, 23, 23, 24, 24, 24, 25, 26, 26, 27, 27, 28, 28, 29}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			actions[rapid.SampledFrom(weights).Draw(t, "action")]()
			m.check()
		}
		m.endTroubles()
	})
}
