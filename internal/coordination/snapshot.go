package coordination

import (
	"slices"
	"sort"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

type snapshotRefs struct {
	jobs     []*cluster.Job
	machines []*cluster.Machine
	victims  []*cluster.Attempt // grows as machines are asked for theirs
}

// queued is a waiting job as the last round saw it.
type queued struct {
	job  *cluster.Job
	view JobView
}

// teamViews adds the teams to a snapshot and gives their places in it. Tasks
// that unsettled machines may hold count as used.
func (t *Term) teamViews(s *Snapshot) map[string]int {
	teams := make(map[string]int, len(t.ledger.Teams))
	for _, name := range sortedKeys(t.ledger.Teams) {
		team := t.ledger.Teams[name]
		teams[name] = len(s.Teams)
		s.Teams = append(s.Teams, TeamView{
			Guarantee: team.GuaranteedQuota,
			Limit:     team.QuotaLimit,
			Used:      team.Used,
			Freeing:   team.Freeing,
		})
	}
	if t.allConfirmed {
		return teams
	}
	for j := range t.ledger.UnreconciledJobs() {
		if i, ok := teams[j.Spec.Team]; ok {
			s.Teams[i].Used = s.Teams[i].Used.Plus(j.Spec.Request, j.UnreconciledTasks())
		}
	}
	return teams
}

// accepts tells whether a machine may be given work.
func (t *Term) accepts(m *cluster.Machine, now units.Micros) bool {
	return m.Registered && m.FencingToken == t.number && m.UndeliveredCommands < maxUndelivered && !m.Quarantined && !m.Releasing && m.TerminatesAt == 0 && m.Capacity.CPU > 0 &&
		now >= m.BlockedUntil && now-m.LastHeartbeat < t.silentAfter()
}

// startPatience is how long a job may wait for its first task until that goes
// before everything else: half of the four minutes in which every job is to
// begin.
const startPatience = 120 * units.Second

// overdue tells whether a job has waited too long and has nothing done yet.
func (t *Term) overdue(j *cluster.Job) bool {
	return j.DoneCount() == 0 && !(j.IsService() && j.Started) && t.Clock.Wall()-j.Submitted > startPatience && j.Spec.Kind != protocol.Gang
}

// preemptionPause is how long a job waits for room where no aim says how soon it is to
// start.
const preemptionPause = 2 * units.Second

// patient tells whether a job waits before tasks of others are stopped for it.
// What is stopped has to be done again, and in a large fleet tasks end all the
// time: where they leave room enough for the job in a part of what the users'
// aims allow, it waits that long.
func (t *Term) patient(j *cluster.Job, now units.Micros) bool {
	patience := preemptionPause
	if j.Spec.Priority < protocol.High {
		if due := t.Settings.Fleet.GuaranteeDue(); due > 0 {
			patience = due / 4
		}
	} else if due := t.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		patience = due / 8
	}
	return now-j.LearnedAt < patience && t.completions.within(patience) >= j.Spec.Request.CPU*units.Amount(j.Pending())
}

// placeable tells whether tasks of a job may be placed now.
func (t *Term) placeable(j *cluster.Job, now units.Micros) bool {
	return j.HasTasksToPlace() && now >= j.RetryAt && len(j.UnreconciledMachines) == 0
}

func (t *Term) machineView(m *cluster.Machine, now units.Micros, answering bool) MachineView {
	next := max(0, m.LastHeartbeat+t.Settings.Fleet.Workers.Report()-now)
	return MachineView{
		ID:        m.ID,
		Type:      m.InstanceType,
		Zone:      m.Zone,
		Spot:      m.Spot,
		Slow:      m.Slow,
		Accepts:   t.accepts(m, now),
		FetchRate: units.AmountOf(t.ledger.InstanceTypes[m.InstanceType].FetchRate),
		Size:      m.Capacity,
		Free:      m.Free(),
		Freeing:   m.Freeing,
		Images:    m.HasImage,
		Answering: answering,
		Reports:   int(next / (units.Second / 2)),
	}
}

// spread fills in where a job's tasks are, for jobs that care.
func (t *Term) spread(view *JobView, j *cluster.Job) {
	view.LiveIn, view.LiveOn = nil, nil
	if j.Spec.ZoneAffinity || j.Spec.ZoneSpread || j.Spec.Kind == protocol.Service {
		view.LiveIn = map[string]int{}
		for _, a := range j.LiveAttempts {
			view.LiveIn[a.Machine.Zone]++
		}
	}
	if j.Spec.Kind == protocol.Service {
		view.LiveOn = map[int]int{} // filled by the machines' numbers
	}
}

// jobViews are all jobs of known teams as a round sees them, whether they wait or not.
type jobViews map[*cluster.Job]*JobView

// snapshot takes down what a round decides on. answering is the machine whose report is
// being answered, nil if none is.
func (t *Term) snapshot(now units.Micros, answering *cluster.Machine) (Snapshot, *snapshotRefs) {
	var s Snapshot
	refs := new(snapshotRefs)
	t.completions.pass(now)
	teams := t.teamViews(&s)
	views := t.snapshotJobs(&s, refs, teams, now)
	t.snapshotMachines(&s, refs, teams, views, now, answering)
	t.updateHeadroom(&s, refs.machines)
	waiting := 0
	for k := range s.Jobs {
		waiting += s.Jobs[k].Pending
	}
	s.Batch = min(batchBase+waiting/8, batchMost)
	return s, refs
}

// snapshotJobs adds the jobs that wait and may be placed, and notes the queue of all that
// wait.
func (t *Term) snapshotJobs(s *Snapshot, refs *snapshotRefs, teams map[string]int, now units.Micros) jobViews {
	jobs := t.jobsInOrder()
	s.Jobs = make([]JobView, 0, len(jobs))
	refs.jobs = make([]*cluster.Job, 0, len(jobs))
	views := make(jobViews, len(jobs))
	committed := make([]units.Resources, len(s.Teams))
	t.queue = t.queue[:0]
	for _, j := range jobs {
		team, ok := teams[j.Spec.Team]
		if !ok {
			continue
		}
		committed[team] = committed[team].Plus(j.Spec.Request, j.Spec.Tasks)
		guarantee := s.Teams[team].Guarantee
		guaranteed := committed[team].CPU <= guarantee.CPU && committed[team].GPU <= guarantee.GPU
		view := t.jobView(j, team, guaranteed, now)
		views[j] = view
		if j.Cancelled || !j.Accepted() {
			continue
		}
		t.queue = append(t.queue, queued{j, *view})
		if !t.placeable(j, now) {
			continue
		}
		t.spread(view, j)
		s.Jobs = append(s.Jobs, *view)
		refs.jobs = append(refs.jobs, j)
	}
	slices.SortFunc(t.queue, func(a, b queued) int { return compareJobs(&a.view, &b.view) })
	return views
}

func (t *Term) jobView(j *cluster.Job, team int, guaranteed bool, now units.Micros) *JobView {
	in := t.rankInput(j)
	return &JobView{
		Spec:       &j.Spec,
		Team:       team,
		Order:      int64(j.Submitted),
		Pending:    j.Pending(),
		Live:       len(j.LiveAttempts),
		Guaranteed: guaranteed,
		Patient:    t.patient(j, now),
		Late:       in.Late,
		Rank:       t.Policy.Rank(in),
		Overdue:    t.overdue(j) && len(j.LiveAttempts) == 0,
		Avoid: func(machine string) bool {
			return j.FailedMachines[machine] && len(j.FailedMachines) < 3 || !j.CanRecordMachine(machine)
		},
	}
}

// snapshotMachines adds the machines that have reported, and what of services is on each.
func (t *Term) snapshotMachines(s *Snapshot, refs *snapshotRefs, teams map[string]int, views jobViews, now units.Micros, answering *cluster.Machine) {
	machines := t.ledger.SortedMachines()
	s.Machines = make([]MachineView, 0, len(machines))
	refs.machines = make([]*cluster.Machine, 0, len(machines))
	services := slices.ContainsFunc(s.Jobs, func(view JobView) bool { return view.LiveOn != nil })
	for _, m := range machines {
		if !m.Registered {
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
}

// victims lists the tasks on a machine that could be stopped.
func (t *Term) victims(m *cluster.Machine, teams map[string]int, views jobViews, refs *snapshotRefs, now units.Micros) []Victim {
	out := make([]Victim, 0, len(m.Attempts))
	for _, a := range m.SortedAttempts() {
		team, ok := teams[a.Job.Spec.Team]
		if !ok || views[a.Job] == nil || a.Stopping || a.Stage != cluster.Running && a.Stage != cluster.Fetching {
			continue
		}
		if t.overdue(a.Job) && len(a.Job.LiveAttempts) == 1 {
			continue // all that its job has, after a long wait
		}
		v := Victim{
			Ref:      len(refs.victims),
			Team:     team,
			Priority: a.Job.Spec.Priority,
			Need:     a.Job.Spec.Request,
			Job:      views[a.Job],
		}
		if a.Stage == cluster.Running {
			v.Loses = now - a.RunningSince
		}
		if a.Job.Spec.CheckpointInterval > 0 {
			v.Loses = a.Job.Spec.CheckpointDuration
		}
		if a.Job.IsService() {
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

func (t *Term) rankInput(j *cluster.Job) config.RankInput {
	waited := max(0, t.Clock.Wall()-j.Submitted)
	estimate := t.ledger.EstimateRuntime(j)
	in := config.RankInput{
		Class: j.Spec.Class, Team: j.Spec.Team, Priority: int(j.Spec.Priority),
		Tasks: j.Spec.Tasks, Unfinished: j.Unfinished(), Pending: j.Pending(),
		WaitedS: waited.Seconds(), RunS: estimate.Seconds(),
		WorkS: estimate.Seconds() * float64(j.Unfinished()) * j.Spec.Request.CPU.Float(),
		DueS:  config.NoDeadline, StartDueS: config.NoDeadline,
	}
	in.FinishS = in.RunS
	if team := t.ledger.Teams[j.Spec.Team]; team != nil && team.QuotaLimit.CPU > 0 {
		in.FinishS = max(in.RunS, in.WorkS/team.QuotaLimit.CPU.Float())
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

// jobsInOrder lists the jobs in the order of their submission.
func (t *Term) jobsInOrder() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(t.ledger.Jobs))
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
