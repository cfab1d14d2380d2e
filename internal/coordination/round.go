package coordination

import (
	"context"
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
		now := t.Clock.Steady()
		if t.Lease.Valid(t.number) {
			t.expire(now)
			t.checkContact(now)
			if now-t.lastSummary >= summaryEvery {
				t.lastSummary = now
				t.summary(now)
			}
			if t.roundDue(now) {
				t.round(now, nil)
			} else {
				kick(t.kickRound)
			}
		}
		t.mu.Unlock()
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
		known = len(t.doubtful())
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
		"jobs", len(t.ledger.Jobs), "teams_near_limit", full, "round_cost_us", int64(t.roundCost))
}

// roundDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (t *Term) roundDue(now units.Micros) bool {
	return now-t.lastRound >= max(roundPause, min(t.roundCost*roundsShare, units.Second))
}

// expire gives up what silent machines held once their leases have run out.
func (t *Term) expire(now units.Micros) {
	lease := withDrift(t.Settings.Fleet.Workers.Lease(), 500*units.Millisecond)
	for _, m := range t.ledger.Machines {
		if now-max(m.LastAnswered, t.claimedAt) < lease {
			continue
		}
		if len(m.Attempts) > 0 {
			t.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			t.ledger.Emptied(m, now)
		}
		if !m.Settled {
			t.ledger.Settle(m, now)
		}
	}
	if !t.settled && t.ready && len(t.doubtful()) == 0 {
		t.settled = true
		t.Log.Info("all machines settled", "after_ms", (now-t.claimedAt)/units.Millisecond)
	}
	if now-t.claimedAt >= lease {
		for id := range t.doubtful() {
			if t.ledger.Machines[id] == nil {
				t.ledger.SettleName(id)
			}
		}
	}
	for _, j := range t.ledger.Jobs {
		if j.Cancelled && len(j.Live) == 0 && len(j.Doubts) == 0 && j.CancelStored && !j.Ending() {
			j.Changed(now, true)
			kick(t.kickSave)
		}
	}
}

// round plans on a snapshot and takes the outcome over into the ledger.
func (t *Term) round(now units.Micros, answering *bookkeeping.Machine) {
	began := t.Clock.Steady()
	s, refs := t.snapshot(now, answering)
	wanted := Plan(&s)
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
			t.Log.Debug("task placed", "task", a.Task(), "attempt", a.Number, "machine", m.ID)
			t.Metrics.placed(now - j.Since)
		}
		if !j.MayStartOn(m.ID) {
			kick(t.kickSave)
		}
	}
	for _, p := range wanted.Stops {
		a := refs.victims[p.Victim]
		a.Stop, a.Grace = true, a.Job.Spec.Save+2*units.Second
		t.Log.Info("task preempted", "task", a.Task(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.For].Spec.ID, "for_class", refs.jobs[p.For].Spec.Class)
	}
	t.lastRound = t.Clock.Steady()
	t.roundCost = (7*t.roundCost + (t.lastRound - began)) / 8
}

type snapshotRefs struct {
	jobs     []*bookkeeping.Job
	machines []*bookkeeping.Machine
	victims  []*bookkeeping.Attempt
}

// silentAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs.
func (t *Term) silentAfter() units.Micros {
	return t.Settings.Fleet.Workers.Report().Share(5, 2) + 1500*units.Millisecond
}

func (t *Term) snapshot(now units.Micros, answering *bookkeeping.Machine) (Snapshot, snapshotRefs) {
	var s Snapshot
	var refs snapshotRefs
	teams := map[string]int{}
	for _, name := range sortedKeys(t.ledger.Teams) {
		team := t.ledger.Teams[name]
		teams[name] = len(s.Teams)
		s.Teams = append(s.Teams, TeamView{Guarantee: team.Guarantee, Limit: team.Limit, Used: t.ledger.UsedIn(team)})
	}
	waiting := 0
	committed := make([]units.Resources, len(s.Teams))
	views := make(map[string]*JobView, len(t.ledger.Jobs))
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
			Late:       in.Late, Rank: t.Policy.Rank(in), LiveIn: map[string]int{},
			Avoid: func(k int) bool {
				m := refs.machines[k]
				return j.ErrorsOn[m.ID] && len(j.ErrorsOn) < 3 || !j.CanName(m.ID)
			}}
		views[j.Spec.ID] = view
		if !j.Waiting() || now < j.RetryAt || len(j.Doubts) > 0 {
			continue
		}
		if j.Spec.OneZone || j.Spec.Spread || j.Spec.Shape == protocol.Service {
			for _, a := range j.Live {
				view.LiveIn[a.Machine.Zone]++
			}
		}
		if j.Spec.Shape == protocol.Service {
			view.LiveOn = map[int]int{} // filled with the machines below
		}
		waiting += view.Pending
		s.Jobs = append(s.Jobs, *view)
		refs.jobs = append(refs.jobs, j)
	}
	for _, id := range sortedKeys(t.ledger.Machines) {
		m := t.ledger.Machines[id]
		if !m.Seen {
			continue
		}
		t.drain(m, now)
		view := MachineView{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Slow: m.Slow, Free: m.Free(), Images: m.HasImage, Answering: m == answering}
		view.Accepts = m.Settled && !m.SetAside && !m.Releasing && m.NoticeEnds == 0 && m.Size.CPU > 0 &&
			now >= m.BlockedUntil && now-m.LastAnswered < t.silentAfter()
		for _, a := range m.Sorted() {
			if view := views[a.Job.Spec.ID]; view != nil && view.LiveOn != nil {
				view.LiveOn[len(refs.machines)]++
			}
			if a.Stop {
				view.Freeing = view.Freeing.Plus(a.Job.Spec.Need, 1)
				if team, ok := teams[a.Job.Spec.Team]; ok {
					s.Teams[team].Freeing = s.Teams[team].Freeing.Plus(a.Job.Spec.Need, 1)
				}
				continue
			}
			if a.Stage != bookkeeping.Running && a.Stage != bookkeeping.Fetching || !view.Accepts {
				continue
			}
			team, ok := teams[a.Job.Spec.Team]
			if !ok {
				continue
			}
			v := Victim{Ref: len(refs.victims), Team: team, Priority: a.Job.Spec.Priority, Need: a.Job.Spec.Need, Job: views[a.Job.Spec.ID]}
			if a.Stage == bookkeeping.Running {
				v.Loses = now - a.RunningSince
			}
			if a.Job.Spec.Checkpoint > 0 {
				v.Loses = a.Job.Spec.Save
			}
			refs.victims = append(refs.victims, a)
			view.Victims = append(view.Victims, v)
		}
		s.Machines = append(s.Machines, view)
		refs.machines = append(refs.machines, m)
	}
	s.Batch = min(batchBase+waiting/8, batchMost)
	return s, refs
}

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
		in.Late = in.DueS < in.FinishS
		if !in.Late {
			break
		}
	}
	if due := t.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		in.StartDueS = (due - waited).Seconds()
	}
	return in
}

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
		case m.SetAside:
		case run < left && run > 0: // it will be done in time
			continue
		case a.Job.Spec.Checkpoint > 0 && left > a.Job.Spec.Save+3*report: // saving can wait
			continue
		}
		a.Stop, a.Grace = true, a.Job.Spec.Save+units.Second
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
