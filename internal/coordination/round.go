package coordination

import (
	"context"
	"slices"
	"sort"
	"time"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	roundPause   = 25 * units.Millisecond // the least time between rounds
	summaryEvery = 10 * units.Second
	roundTick    = 250 * units.Millisecond
	roundsShare  = 8  // a round's cost, this many times over, until the next
	batchBase    = 48 // starts in a round while little waits
	batchMost    = 512
)

// roundLoop makes rounds of decisions when something has changed.
func (t *Term) roundLoop(ctx context.Context) {
	for pause(ctx, roundPause) {
		select {
		case <-ctx.Done():
			return
		case <-t.kickRound:
		case <-time.After(roundTick.Duration()):
		}
		t.mu.Lock()
		if now := t.Clock.Steady(); t.Lease.Valid(t.number) {
			t.checkTimeouts(now)
			if t.roundDue(now) {
				t.round(now, nil)
			} else {
				kick(t.kickRound)
			}
		}
		t.mu.Unlock()
	}
}

// checkTimeouts looks for what has passed its time, and logs the summary. Rounds may
// come forty times a second; all these times are seconds long, and each look goes over
// the whole fleet.
func (t *Term) checkTimeouts(now units.Micros) {
	if now-t.lastTimeoutCheck < roundTick {
		return
	}
	t.lastTimeoutCheck = now
	t.expire(now)
	t.checkContact(now)
	if now-t.lastSummary >= summaryEvery {
		t.lastSummary = now
		t.summary(now)
	}
}

// checkContact gives the lease up when none of several machines has been
// heard for so long that it must be this node that is cut off. Another node
// may still reach them before their leases run out. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (t *Term) checkContact(now units.Micros) {
	quiet := t.Settings.Fleet.Workers.Report().Share(3, 2) + 1200*units.Millisecond
	// Before the first report the workers have to find this node. Whom to
	// expect, the records say.
	last, known := t.claimedAt+4*units.Second, 0
	for _, m := range t.ledger.Machines {
		if m.Seen && !m.Releasing {
			known++
			last = max(last, m.LastAnswered)
		}
	}
	if known == 0 {
		known = t.ledger.Doubts()
	}
	if t.ready && known >= 2 && now-last > quiet && now-last < 3*quiet {
		t.Log.Info("no machine reports; the lease is given up", "machines", known, "silent_ms", (now-last)/units.Millisecond)
		t.Lease.Resign()
	}
}

// summary logs how full the fleet is and what waits.
func (t *Term) summary(now units.Micros) {
	var size, used units.Resources
	reporting := 0
	for _, m := range t.ledger.Machines {
		if m.Seen && now-m.LastAnswered < t.silentAfter() {
			reporting++
			size, used = size.Plus(m.Size, 1), used.Plus(m.Used, 1)
		}
	}
	var pending [protocol.Priorities]int
	for _, j := range t.ledger.Jobs {
		pending[j.Spec.Priority] += j.Pending()
	}
	var running units.Resources
	for _, m := range t.ledger.Machines {
		for _, a := range m.Attempts {
			if a.Stage == bookkeeping.Running {
				running = running.Plus(a.Job.Spec.Need, 1)
			}
		}
	}
	full := 0
	for _, team := range t.ledger.Teams {
		if team.Used.CPU > team.Limit.CPU*9/10 {
			full++
		}
	}
	t.Log.Info("fleet", "machines", reporting, "cpus", size.CPU.Float(), "cpus_used", used.CPU.Float(), "cpus_running", running.CPU.Float(),
		"pending_low", pending[protocol.Low], "pending_normal", pending[protocol.Normal],
		"pending_high", pending[protocol.High], "pending_prod", pending[protocol.Production],
		"jobs", len(t.ledger.Jobs), "teams_near_limit", full, "round_cost_us", int64(t.roundCost),
		"state_requests", t.Store.Stats.Requests.Load(), "state_writes", t.Store.Stats.Writes.Load())
}

// roundDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (t *Term) roundDue(now units.Micros) bool {
	return now-t.lastRound >= max(roundPause, min(t.roundCost*roundsShare, units.Second))
}

// expire gives up what silent machines held once their leases have run out.
func (t *Term) expire(now units.Micros) {
	lease := t.workerLease()
	for _, m := range t.ledger.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastAnswered, t.claimedAt) >= lease {
			t.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			m.HungCancelled = m.HungCancelled || t.ledger.HoldsCancelled(m.ID)
			t.ledger.Emptied(m, now)
		}
	}
	if !t.settled && t.ready && now-t.claimedAt >= lease {
		// What a former leader started is over everywhere, but on machines that
		// accepted an answer of this one since: and these have told what they hold,
		// as an answer is accepted only to the newest report. A machine that hears
		// no answer would otherwise stay in doubt for as long as it reports.
		for _, id := range t.ledger.DoubtfulMachines() {
			t.ledger.Settle(id)
		}
	}
	if !t.settled && t.ready && t.ledger.Doubts() == 0 {
		t.settled = true
		t.Log.Info("all machines settled", "after_ms", (now-t.claimedAt)/units.Millisecond)
	}
	for _, j := range t.ledger.Jobs {
		if j.Cancelled && len(j.Live) == 0 && len(j.Doubts) == 0 && j.CancelStored && !j.Ending() {
			j.Changed(now, true)
			kick(t.kickSave)
		}
	}
}

// workerLease is how long a machine may go on after its last answered report came
// in, by this node's clock.
func (t *Term) workerLease() units.Micros { return leaseBound(t.Settings.Fleet.Workers) }

// round plans on a snapshot and takes the outcome over into the ledger.
func (t *Term) round(now units.Micros, answering *bookkeeping.Machine) {
	began := t.Clock.Steady()
	s, refs := t.snapshot(now, answering)
	wanted := Plan(&s)
	t.offered = !wanted.Cut
	clear(t.held)
	for _, h := range wanted.Holds {
		t.held[refs.machines[h.Machine]] = refs.jobs[h.For]
	}
	t.carryOut(wanted, refs, now)
	t.lastRound = t.Clock.Steady()
	t.roundCost = (7*t.roundCost + (t.lastRound - began)) / 8
}

// fill plans for one machine between two rounds, in the order of the last one.
// Every other machine with room was offered then, or when it reported itself,
// so that this one is the companion whatever image it holds. It costs little
// next to a round: a machine that reports the end of a task has the next one
// in the answer, however large the fleet is.
func (t *Term) fill(m *bookkeeping.Machine, now units.Micros) {
	if !t.offered || len(t.queue) == 0 || m.Free().CPU <= 0 || !t.accepts(m, now) {
		return
	}
	s := Snapshot{Batch: batchMost, Partial: true}
	teams := t.teamViews(&s)
	s.Machines = []MachineView{t.machineView(m, now, true)}
	s.Machines[0].Kept = t.kept[m]
	// A few jobs at a time: the first ones mostly take all the room.
	queue := t.queue
	if held := t.held[m]; held != nil && t.placeable(held, now) {
		// The room is kept together for this job: none that comes later gets any.
		if i := slices.IndexFunc(queue, func(q queued) bool { return q.job == held }); i >= 0 {
			queue = queue[:i+1]
		}
	}
	for len(queue) > 0 && s.Machines[0].Free.CPU > 0 {
		n := min(len(queue), fillJobs)
		t.fillFrom(queue[:n], m, &s, teams, now)
		queue = queue[n:]
	}
}

const fillJobs = 12

func (t *Term) fillFrom(queue []queued, m *bookkeeping.Machine, s *Snapshot, teams map[string]int, now units.Micros) {
	s.Jobs = s.Jobs[:0]
	refs := &snapshotRefs{machines: []*bookkeeping.Machine{m}}
	for _, q := range queue {
		j := q.job
		if s.Machines[0].Free.Fits(j.Spec.Need) == 0 && m.Freeing == (units.Resources{}) || !t.placeable(j, now) {
			continue
		}
		view := q.view
		if view.Overdue && len(j.Live) > 0 {
			continue // it has begun; its turn for the rest is found by the next round
		}
		view.Pending, view.Live, view.Team = j.Pending(), len(j.Live), teams[j.Spec.Team]
		t.spread(&view, j)
		if view.LiveOn != nil {
			continue // replicas are placed with all machines in view
		}
		s.Jobs = append(s.Jobs, view)
		refs.jobs = append(refs.jobs, j)
	}
	if len(s.Jobs) > 0 {
		t.carryOut(Plan(s), refs, now)
	}
}

// carryOut takes a plan over into the ledger.
func (t *Term) carryOut(wanted Wanted, refs *snapshotRefs, now units.Micros) {
	gangs := map[int]bool{}
	for _, w := range wanted.Starts {
		j, m := refs.jobs[w.Job], refs.machines[w.Machine]
		for range w.Count {
			// A gang's tasks find each other by the attempt they share.
			if j.Spec.Shape != protocol.Gang || !gangs[w.Job] {
				t.attempts++
				gangs[w.Job] = true
			}
			a := t.ledger.Assign(j, m, t.number<<32|t.attempts, now)
			if a == nil {
				break
			}
			t.trace("task placed", a)
			t.Metrics.placed(now - j.Since)
		}
		if !j.MayStartOn(m.ID) {
			kick(t.kickSave)
		}
		if j.Service() {
			t.hurry(m, j, now)
		}
	}
	for _, p := range wanted.Stops {
		a := refs.victims[p.Victim]
		t.ledger.Stop(a, a.Job.Spec.Save+2*units.Second)
		t.hurry(a.Machine, nil, now)
		t.Log.Info("task preempted", "task", a.Task(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.For].Spec.ID, "for_class", refs.jobs[p.For].Spec.Class)
	}
}

type snapshotRefs struct {
	jobs     []*bookkeeping.Job
	machines []*bookkeeping.Machine
	victims  []*bookkeeping.Attempt // grows as machines are asked for theirs
}

// queued is a waiting job as the last round saw it.
type queued struct {
	job  *bookkeeping.Job
	view JobView
}

// silentAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs, or, where reports
// come seldom, one report and what one costs that gets no answer (the worker
// waits 4 s and turns to the next node a second later).
func (t *Term) silentAfter() units.Micros {
	report := t.Settings.Fleet.Workers.Report()
	return min(report.Share(5, 2)+1500*units.Millisecond, report.Share(5, 4)+5*units.Second)
}

// teamViews adds the teams to a snapshot and gives their places in it. Tasks
// that unsettled machines may hold count as used.
func (t *Term) teamViews(s *Snapshot) map[string]int {
	teams := make(map[string]int, len(t.ledger.Teams))
	for _, name := range sortedKeys(t.ledger.Teams) {
		team := t.ledger.Teams[name]
		teams[name] = len(s.Teams)
		s.Teams = append(s.Teams, TeamView{Guarantee: team.Guarantee, Limit: team.Limit, Used: team.Used, Freeing: team.Freeing})
	}
	if t.settled {
		return teams
	}
	for j := range t.ledger.InDoubt() {
		if i, ok := teams[j.Spec.Team]; ok {
			s.Teams[i].Used = s.Teams[i].Used.Plus(j.Spec.Need, j.InDoubt())
		}
	}
	return teams
}

// accepts tells whether a machine may be given work.
func (t *Term) accepts(m *bookkeeping.Machine, now units.Micros) bool {
	return m.Seen && m.Term == t.number && m.Unheard < deafAfter && !m.SetAside && !m.Releasing && m.NoticeEnds == 0 && m.Size.CPU > 0 &&
		now >= m.BlockedUntil && now-m.LastAnswered < t.silentAfter()
}

// startPatience is how long a job may wait for its first task until that goes
// before everything else: half of the four minutes in which every job is to
// begin.
const startPatience = 120 * units.Second

// overdue tells whether a job has waited too long and has nothing done yet.
func (t *Term) overdue(j *bookkeeping.Job) bool {
	return j.DoneCount() == 0 && !(j.Service() && j.Begun) && t.Clock.Wall()-j.Submitted > startPatience && j.Spec.Shape != protocol.Gang
}

// turnover is what tasks that end by themselves leave, as observed.
type turnover struct {
	freed     units.Amount // since then
	since     units.Micros
	perSecond units.Amount // processors, moving mean
}

// pass brings the mean up to date.
func (o *turnover) pass(now units.Micros) {
	if passed := now - o.since; passed >= units.Second {
		rate := o.freed * units.Amount(units.Second/units.Millisecond) / units.Amount(passed/units.Millisecond)
		o.perSecond, o.freed, o.since = (3*o.perSecond+rate)/4, 0, now
	}
}

// within is what tasks are expected to leave in a time.
func (o *turnover) within(d units.Micros) units.Amount {
	return o.perSecond * units.Amount(d/units.Millisecond) / units.Amount(units.Second/units.Millisecond)
}

// patient tells whether a job waits before tasks of others are stopped for it.
// What is stopped has to be done again, and in a large fleet tasks end all the
// time: where they leave room enough for the job in a part of what the users'
// aims allow, it waits that long.
func (t *Term) patient(j *bookkeeping.Job, now units.Micros) bool {
	patience := 2 * units.Second
	if j.Spec.Priority < protocol.High {
		if due := t.Settings.Fleet.GuaranteeDue(); due > 0 {
			patience = due / 4
		}
	} else if due := t.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		patience = due / 8
	}
	return now-j.Since < patience && t.turnover.within(patience) >= j.Spec.Need.CPU*units.Amount(j.Pending())
}

// placeable tells whether tasks of a job may be placed now.
func (t *Term) placeable(j *bookkeeping.Job, now units.Micros) bool {
	return j.Waiting() && now >= j.RetryAt && len(j.Doubts) == 0
}

func (t *Term) machineView(m *bookkeeping.Machine, now units.Micros, answering bool) MachineView {
	next := max(0, m.LastAnswered+t.Settings.Fleet.Workers.Report()-now)
	return MachineView{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Slow: m.Slow, Accepts: t.accepts(m, now),
		FetchRate: units.AmountOf(t.ledger.Types[m.Type].FetchRate),
		Size:      m.Size, Free: m.Free(), Freeing: m.Freeing, Images: m.HasImage, Answering: answering,
		Reports: int(next / (units.Second / 2))}
}

// spread fills in where a job's tasks are, for jobs that care.
func (t *Term) spread(view *JobView, j *bookkeeping.Job) {
	view.LiveIn, view.LiveOn = nil, nil
	if j.Spec.OneZone || j.Spec.Spread || j.Spec.Shape == protocol.Service {
		view.LiveIn = map[string]int{}
		for _, a := range j.Live {
			view.LiveIn[a.Machine.Zone]++
		}
	}
	if j.Spec.Shape == protocol.Service {
		view.LiveOn = map[int]int{} // filled by the machines' numbers
	}
}

func (t *Term) snapshot(now units.Micros, answering *bookkeeping.Machine) (Snapshot, *snapshotRefs) {
	var s Snapshot
	refs := new(snapshotRefs)
	t.turnover.pass(now)
	teams := t.teamViews(&s)
	waiting := 0
	committed := make([]units.Resources, len(s.Teams))
	views := make(map[*bookkeeping.Job]*JobView, len(t.ledger.Jobs))
	t.queue = t.queue[:0]
	services := false
	for _, j := range t.jobsInOrder() {
		team, ok := teams[j.Spec.Team]
		if !ok {
			continue
		}
		committed[team] = committed[team].Plus(j.Spec.Need, j.Spec.Tasks)
		g := s.Teams[team].Guarantee
		in := t.rankInput(j)
		view := &JobView{Spec: &j.Spec, Team: team, Order: int64(j.Submitted), Pending: j.Pending(), Live: len(j.Live),
			Guaranteed: committed[team].CPU <= g.CPU && committed[team].GPU <= g.GPU,
			Patient:    t.patient(j, now),
			Late:       in.Late, Rank: t.Policy.Rank(in), Overdue: t.overdue(j) && len(j.Live) == 0}
		view.Avoid = func(m string) bool { return j.ErrorsOn[m] && len(j.ErrorsOn) < 3 || !j.CanName(m) }
		views[j] = view
		if j.Cancelled || !j.Accepted() {
			continue
		}
		t.queue = append(t.queue, queued{j, *view})
		if !t.placeable(j, now) {
			continue
		}
		t.spread(view, j)
		if view.LiveOn != nil {
			services = true
		}
		waiting += view.Pending
		s.Jobs = append(s.Jobs, *view)
		refs.jobs = append(refs.jobs, j)
	}
	slices.SortFunc(t.queue, func(a, b queued) int { return compareJobs(&a.view, &b.view) })
	for _, m := range t.ledger.Ordered() {
		if !m.Seen {
			continue
		}
		t.drain(m, now)
		view := t.machineView(m, now, m == answering)
		if services {
			for _, a := range m.Attempts {
				if v := views[a.Job]; v != nil && v.LiveOn != nil {
					v.LiveOn[len(refs.machines)]++
				}
			}
		}
		if view.Accepts {
			view.Victims = func() []Victim { return t.victims(m, teams, views, refs, now) }
		}
		s.Machines = append(s.Machines, view)
		refs.machines = append(refs.machines, m)
	}
	t.keep(&s, refs.machines)
	s.Batch = min(batchBase+waiting/8, batchMost)
	return s, refs
}

// victims lists the tasks on a machine that could be stopped.
func (t *Term) victims(m *bookkeeping.Machine, teams map[string]int, views map[*bookkeeping.Job]*JobView, refs *snapshotRefs, now units.Micros) []Victim {
	out := make([]Victim, 0, len(m.Attempts))
	for _, a := range m.Sorted() {
		team, ok := teams[a.Job.Spec.Team]
		if !ok || views[a.Job] == nil || a.Stop || a.Stage != bookkeeping.Running && a.Stage != bookkeeping.Fetching {
			continue
		}
		if t.overdue(a.Job) && len(a.Job.Live) == 1 {
			continue // all that its job has, after a long wait
		}
		v := Victim{Ref: len(refs.victims), Team: team, Priority: a.Job.Spec.Priority, Need: a.Job.Spec.Need, Job: views[a.Job]}
		if a.Stage == bookkeeping.Running {
			v.Loses = now - a.RunningSince
		}
		if a.Job.Spec.Checkpoint > 0 {
			v.Loses = a.Job.Spec.Save
		}
		if a.Job.Service() {
			v.Loses += serviceLoss
		}
		refs.victims = append(refs.victims, a)
		out = append(out, v)
	}
	return out
}

// serviceLoss puts replicas of services last among the tasks of their priority
// that could be stopped: what they lose is not work that can be done again.
const serviceLoss = 1_000_000 * units.Second

func (t *Term) rankInput(j *bookkeeping.Job) config.RankInput {
	waited := max(0, t.Clock.Wall()-j.Submitted)
	estimate := t.ledger.Estimate(j)
	in := config.RankInput{
		Class: j.Spec.Class, Team: j.Spec.Team, Priority: int(j.Spec.Priority),
		Tasks: j.Spec.Tasks, Unfinished: j.Unfinished(), Pending: j.Pending(),
		WaitedS: waited.Seconds(), RunS: estimate.Seconds(),
		WorkS: estimate.Seconds() * float64(j.Unfinished()) * j.Spec.Need.CPU.Float(),
		DueS:  config.NoDeadline, StartDueS: config.NoDeadline,
	}
	in.FinishS = in.RunS
	if team := t.ledger.Teams[j.Spec.Team]; team != nil && team.Limit.CPU > 0 {
		in.FinishS = max(in.RunS, in.WorkS/team.Limit.CPU.Float())
	}
	for _, due := range t.Settings.Fleet.Dues(j.Spec.Class, j.Spec.Deadline) {
		in.DueS = (due - waited).Seconds()
		in.Late = in.DueS < in.FinishS*estimateTrust
		if !in.Late {
			break
		}
	}
	if due := t.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		in.StartDueS = (due - waited).Seconds()
	}
	return in
}

// estimateTrust is the part of an estimate that is relied on to call a job late:
// estimates are often wrong by half, and what is called late waits behind all
// the rest, though it might have been in time.
const estimateTrust = 2.0 / 3

// drain stops what would be lost when a machine is taken away, in time for it
// to be saved or begun anew elsewhere.
func (t *Term) drain(m *bookkeeping.Machine, now units.Micros) {
	if m.NoticeEnds == 0 && !m.SetAside {
		return
	}
	left := m.NoticeEnds - now
	report := t.Settings.Fleet.Workers.Report()
	for _, a := range m.Attempts {
		if a.Stop {
			continue
		}
		run := t.ledger.Estimate(a.Job)
		if a.RunningSince > 0 {
			run -= now - a.RunningSince
		}
		switch {
		case m.SetAside, a.Job.Service():
			// A replica begins elsewhere once this one is gone: the sooner the better.
		case run < left && run > 0: // it will be done in time
			continue
		case a.Job.Spec.Checkpoint > 0 && left > a.Job.Spec.Save+3*report: // saving can wait
			continue
		}
		t.ledger.Stop(a, a.Job.Spec.Save+units.Second)
		t.Log.Info("task drained", "task", a.Task(), "attempt", a.Number, "machine", m.ID)
	}
}

// jobsInOrder lists the jobs in the order of their submission.
func (t *Term) jobsInOrder() []*bookkeeping.Job {
	jobs := make([]*bookkeeping.Job, 0, len(t.ledger.Jobs))
	for _, j := range t.ledger.Jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool {
		if a, b := jobs[i].Submitted, jobs[k].Submitted; a != b {
			return a < b
		}
		return jobs[i].Spec.ID < jobs[k].Spec.ID
	})
	return jobs
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
