package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

type snapshotIndex struct {
	jobs     []*cluster.Job
	machines []*cluster.Machine
	victims  []*cluster.Attempt // grows as machines are asked for theirs
}

// queuedJob is a waiting job as the last round saw it.
type queuedJob struct {
	job  *cluster.Job
	view JobView
}

// snapshotTeams adds the teams to a snapshot and gives their places in it. Tasks
// that unsettled machines may hold count as used.
func (sc *Scheduler) snapshotTeams(s *Snapshot) map[string]int {
	teams := make(map[string]int, len(sc.State.Teams))
	for _, name := range sorted.Keys(sc.State.Teams) {
		team := sc.State.Teams[name]
		teams[name] = len(s.Teams)
		s.Teams = append(s.Teams, TeamView{
			GuaranteedQuota: team.GuaranteedQuota,
			QuotaLimit:      team.QuotaLimit,
			Used:            team.Used,
			Freeing:         team.Freeing,
		})
	}
	if sc.Detector.AllReconciled() {
		return teams
	}
	for j := range sc.State.Unreconciled.Jobs() {
		if i, ok := teams[j.Spec.Team]; ok {
			s.Teams[i].Used = s.Teams[i].Used.Plus(j.Spec.Request, j.UnreconciledTasks())
		}
	}
	return teams
}

// MachineSchedulable tells whether a machine may be given work.
func (sc *Scheduler) MachineSchedulable(m *cluster.Machine, now units.Micros) bool {
	return m.Registered && m.FencingToken == sc.Token && !m.IgnoresCommands() && !m.Quarantined && !m.Releasing && m.TerminatesAt == 0 && m.Capacity.CPU > 0 &&
		now >= m.BlockedUntil && now-m.LastHeartbeat < sc.Detector.SuspectAfter()
}

// starvationAge is how long a job may wait for its first task until that goes
// before everything else: half of the four minutes in which every job is to
// begin.
const starvationAge = 120 * units.Second

// starved tells whether a job has waited too long and has nothing done yet.
func (sc *Scheduler) starved(j *cluster.Job) bool {
	return j.DoneCount() == 0 && !(j.IsService() && j.Started) && sc.Clock.Wall()-j.Submitted > starvationAge && j.Spec.Kind != protocol.Gang
}

// defaultPatience is how long a job waits for room where no aim says how soon it is to
// start.
const defaultPatience = 2 * units.Second

// awaitsCompletions tells whether a job waits before tasks of others are stopped for it.
// What is stopped has to be done again, and in a large fleet tasks end all the
// time: where they leave room enough for the job in a part of what the users'
// aims allow, it waits that long.
func (sc *Scheduler) awaitsCompletions(j *cluster.Job, now units.Micros) bool {
	patience := defaultPatience
	if j.Spec.Priority < protocol.High {
		if due := sc.Settings.Fleet.GuaranteeDue(); due > 0 {
			patience = due / 4
		}
	} else if due := sc.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		patience = due / 8
	}
	return now-j.LearnedAt < patience && sc.State.Completions.Within(patience) >= j.Spec.Request.CPU*units.Amount(j.Pending())
}

// schedulable tells whether tasks of a job may be placed now.
func (sc *Scheduler) schedulable(j *cluster.Job, now units.Micros) bool {
	return j.HasTasksToPlace() && now >= j.RetryAt && len(j.UnreconciledMachines) == 0
}

func (sc *Scheduler) machineView(m *cluster.Machine, now units.Micros, answering bool) MachineView {
	next := max(0, m.LastHeartbeat+sc.Settings.Fleet.Workers.Report()-now)
	return MachineView{
		ID:                     m.ID,
		InstanceType:           m.InstanceType,
		Zone:                   m.Zone,
		Spot:                   m.Spot,
		Slow:                   m.Slow,
		Schedulable:            sc.MachineSchedulable(m, now),
		FetchRate:              units.AmountOf(sc.State.InstanceTypes[m.InstanceType].FetchRate),
		Capacity:               m.Capacity,
		Free:                   m.Free(),
		Freeing:                m.Freeing,
		HasImage:               m.HasImage,
		HeartbeatPending:       answering,
		HalfSecondsToHeartbeat: int(next / (units.Second / 2)),
	}
}

// fillTopology fills in where a job's tasks are, for jobs that care.
func (sc *Scheduler) fillTopology(view *JobView, j *cluster.Job) {
	view.LiveByZone, view.LiveByMachine = nil, nil
	if j.Spec.ZoneAffinity || j.Spec.ZoneSpread || j.Spec.Kind == protocol.Service {
		view.LiveByZone = map[string]int{}
		for _, a := range j.LiveAttempts {
			view.LiveByZone[a.Machine.Zone]++
		}
	}
	if j.Spec.Kind == protocol.Service {
		view.LiveByMachine = map[int]int{} // filled by the machines' numbers
	}
}

// jobViews are all jobs of known teams as a round sees them, whether they wait or not.
type jobViews map[*cluster.Job]*JobView

// TakeSnapshot takes down what a round decides on. answering is the machine whose report is
// being answered, nil if none is.
func (sc *Scheduler) TakeSnapshot(now units.Micros, answering *cluster.Machine) (Snapshot, *snapshotIndex) {
	var s Snapshot
	refs := new(snapshotIndex)
	sc.State.Completions.Advance(now)
	teams := sc.snapshotTeams(&s)
	views := sc.snapshotJobs(&s, refs, teams, now)
	sc.snapshotMachines(&s, refs, teams, views, now, answering)
	sc.updateHeadroom(&s, refs.machines)
	waiting := 0
	for k := range s.Jobs {
		waiting += s.Jobs[k].Pending
	}
	s.MaxPlacements = min(minCyclePlacements+waiting/8, maxCyclePlacements)
	return s, refs
}

// snapshotJobs adds the jobs that wait and may be placed, and notes the queue of all that
// wait.
func (sc *Scheduler) snapshotJobs(s *Snapshot, refs *snapshotIndex, teams map[string]int, now units.Micros) jobViews {
	jobs := sc.State.JobsBySubmission()
	s.Jobs = make([]JobView, 0, len(jobs))
	refs.jobs = make([]*cluster.Job, 0, len(jobs))
	views := make(jobViews, len(jobs))
	committed := make([]units.Resources, len(s.Teams))
	sc.queue = sc.queue[:0]
	for _, j := range jobs {
		team, ok := teams[j.Spec.Team]
		if !ok {
			continue
		}
		committed[team] = committed[team].Plus(j.Spec.Request, j.Spec.Tasks)
		guarantee := s.Teams[team].GuaranteedQuota
		guaranteed := committed[team].CPU <= guarantee.CPU && committed[team].GPU <= guarantee.GPU
		view := sc.jobView(j, team, guaranteed, now)
		views[j] = view
		if j.Cancelled || !j.Accepted() {
			continue
		}
		sc.queue = append(sc.queue, queuedJob{j, *view})
		if !sc.schedulable(j, now) {
			continue
		}
		sc.fillTopology(view, j)
		s.Jobs = append(s.Jobs, *view)
		refs.jobs = append(refs.jobs, j)
	}
	slices.SortFunc(sc.queue, func(a, b queuedJob) int { return compareJobs(&a.view, &b.view) })
	return views
}

func (sc *Scheduler) jobView(j *cluster.Job, team int, guaranteed bool, now units.Micros) *JobView {
	in := sc.rankInput(j)
	return &JobView{
		Spec:              &j.Spec,
		Team:              team,
		SubmittedAt:       int64(j.Submitted),
		Pending:           j.Pending(),
		LiveTasks:         len(j.LiveAttempts),
		WithinGuarantee:   guaranteed,
		AwaitsCompletions: sc.awaitsCompletions(j, now),
		MissesDeadline:    in.Late,
		Rank:              sc.Policy.Rank(in),
		Starved:           sc.starved(j) && len(j.LiveAttempts) == 0,
		Avoid: func(machine string) bool {
			return j.FailedMachines[machine] && len(j.FailedMachines) < 3 || !j.CanRecordMachine(machine)
		},
	}
}

// snapshotMachines adds the machines that have reported, and what of services is on each.
func (sc *Scheduler) snapshotMachines(s *Snapshot, refs *snapshotIndex, teams map[string]int, views jobViews, now units.Micros, answering *cluster.Machine) {
	machines := sc.State.SortedMachines()
	s.Machines = make([]MachineView, 0, len(machines))
	refs.machines = make([]*cluster.Machine, 0, len(machines))
	services := slices.ContainsFunc(s.Jobs, func(view JobView) bool { return view.LiveByMachine != nil })
	for _, m := range machines {
		if !m.Registered {
			continue
		}
		sc.evictBeforeTermination(m, now)
		view := sc.machineView(m, now, m == answering)
		if services {
			for _, a := range m.Attempts {
				if v := views[a.Job]; v != nil && v.LiveByMachine != nil {
					v.LiveByMachine[len(refs.machines)]++
				}
			}
		}
		if view.Schedulable {
			view.Victims = func() []Victim { return sc.preemptionVictims(m, teams, views, refs, now) }
		}
		s.Machines = append(s.Machines, view)
		refs.machines = append(refs.machines, m)
	}
}

// preemptionVictims lists the tasks on a machine that could be stopped.
func (sc *Scheduler) preemptionVictims(m *cluster.Machine, teams map[string]int, views jobViews, refs *snapshotIndex, now units.Micros) []Victim {
	out := make([]Victim, 0, len(m.Attempts))
	for _, a := range m.SortedAttempts() {
		team, ok := teams[a.Job.Spec.Team]
		if !ok || views[a.Job] == nil || a.Stopping || a.Stage != cluster.Running && a.Stage != cluster.Fetching {
			continue
		}
		if sc.starved(a.Job) && len(a.Job.LiveAttempts) == 1 {
			continue // all that its job has, after a long wait
		}
		v := Victim{
			Ref:      len(refs.victims),
			Team:     team,
			Priority: a.Job.Spec.Priority,
			Request:  a.Job.Spec.Request,
			Job:      views[a.Job],
		}
		if a.Stage == cluster.Running {
			v.LostWork = now - a.RunningSince
		}
		if a.Job.Spec.CheckpointInterval > 0 {
			v.LostWork = a.Job.Spec.CheckpointDuration
		}
		if a.Job.IsService() {
			v.LostWork += replicaLostWork
		}
		refs.victims = append(refs.victims, a)
		out = append(out, v)
	}
	return out
}

// replicaLostWork puts replicas of services last among the tasks of their priority
// that could be stopped: what they lose is not work that can be done again.
const replicaLostWork = 1_000_000 * units.Second

func (sc *Scheduler) rankInput(j *cluster.Job) config.RankInput {
	waited := max(0, sc.Clock.Wall()-j.Submitted)
	estimate := sc.State.Outcomes.EstimateRuntime(j)
	in := config.RankInput{
		Class: j.Spec.Class, Team: j.Spec.Team, Priority: int(j.Spec.Priority),
		Tasks: j.Spec.Tasks, Unfinished: j.Unfinished(), Pending: j.Pending(),
		WaitedS: waited.Seconds(), RunS: estimate.Seconds(),
		WorkS: estimate.Seconds() * float64(j.Unfinished()) * j.Spec.Request.CPU.Float(),
		DueS:  config.NoDeadline, StartDueS: config.NoDeadline,
	}
	in.FinishS = in.RunS
	if team := sc.State.Teams[j.Spec.Team]; team != nil && team.QuotaLimit.CPU > 0 {
		in.FinishS = max(in.RunS, in.WorkS/team.QuotaLimit.CPU.Float())
	}
	for _, due := range sc.Settings.Fleet.Dues(j.Spec.Class, j.Spec.Deadline) {
		in.DueS = (due - waited).Seconds()
		in.Late = in.DueS < in.FinishS*estimateTrust
		if !in.Late {
			break
		}
	}
	if due := sc.Settings.Fleet.StartDue(j.Spec.Class); due > 0 {
		in.StartDueS = (due - waited).Seconds()
	}
	return in
}

// estimateTrust is the part of an estimate that is relied on to call a job late:
// estimates are often wrong by half, and what is called late waits behind all
// the rest, though it might have been in time.
const estimateTrust = 2.0 / 3
