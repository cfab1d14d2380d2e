package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// snapshotIndex maps the indexes in a snapshot to the objects of the state, and back.
type snapshotIndex struct {
	jobs     []*cluster.Job     // by index in Snapshot.Jobs
	machines []*cluster.Machine // by index in Snapshot.Machines
	victims  []*cluster.Attempt // by Victim.Ref; extended by each call of MachineView.Victims
	teams    map[string]int     // indexes in Snapshot.Teams, by name
	// views holds the views of all jobs of known teams, also of jobs that do not wait.
	views map[*cluster.Job]*JobView
}

// queuedJob is a waiting job with its view in the last cycle.
type queuedJob struct {
	job  *cluster.Job
	view JobView
}

// currentView returns the job's view of the last cycle with its present tasks. teams holds the teams'
// indexes in the present snapshot, by name.
func (q *queuedJob) currentView(teams map[string]int) JobView {
	view, job := q.view, q.job
	view.Pending, view.LiveTasks, view.Team = job.Pending(), len(job.LiveAttempts), teams[job.Spec.Team]
	countLiveTasks(&view, job)
	return view
}

// TakeSnapshot returns a snapshot of the state that a cycle's decisions depend on. heartbeatFrom
// is the machine whose heartbeat is being handled, nil if there is none. TakeSnapshot also
// updates the queue and the headroom, and evicts tasks from machines that are about to
// terminate or are quarantined.
func (sc *Scheduler) TakeSnapshot(now units.Micros, heartbeatFrom *cluster.Machine) (Snapshot, *snapshotIndex) {
	var snapshot Snapshot
	index := new(snapshotIndex)
	sc.State.Completions.Advance(now)
	index.teams = sc.snapshotTeams(&snapshot)
	sc.snapshotJobs(&snapshot, index, now)
	sc.snapshotMachines(&snapshot, index, now, heartbeatFrom)
	sc.updateHeadroom(&snapshot, index.machines)
	pending := 0
	for i := range snapshot.Jobs {
		pending += snapshot.Jobs[i].Pending
	}
	snapshot.MaxPlacements = min(minCyclePlacements+pending/pendingPerPlacement, maxCyclePlacements)
	return snapshot, index
}

// snapshotTeams adds the teams to a snapshot and returns their indexes in it, by name. Tasks
// that may be running on unreconciled machines count towards their team's usage.
func (sc *Scheduler) snapshotTeams(snapshot *Snapshot) map[string]int {
	indexes := make(map[string]int, len(sc.State.Teams))
	for _, name := range sorted.Keys(sc.State.Teams) {
		team := sc.State.Teams[name]
		indexes[name] = len(snapshot.Teams)
		snapshot.Teams = append(snapshot.Teams, TeamView{
			GuaranteedQuota: team.GuaranteedQuota,
			QuotaLimit:      team.QuotaLimit,
			Used:            team.Used,
			Freeing:         team.Freeing,
			Services:        team.Services,
		})
	}
	if sc.Detector.AllReconciled() {
		return indexes
	}
	for job := range sc.State.Unreconciled.Jobs() {
		if i, ok := indexes[job.Spec.Team]; ok {
			team := &snapshot.Teams[i]
			team.Used = team.Used.Plus(job.Spec.Request, job.UnreconciledTasks())
		}
	}
	return indexes
}

// snapshotJobs adds the waiting jobs that may be placed, and updates the queue of all waiting
// jobs.
func (sc *Scheduler) snapshotJobs(snapshot *Snapshot, index *snapshotIndex, now units.Micros) {
	jobs := sc.State.JobsBySubmission()
	snapshot.Jobs = make([]JobView, 0, len(jobs))
	index.jobs = make([]*cluster.Job, 0, len(jobs))
	index.views = make(map[*cluster.Job]*JobView, len(jobs))
	committed := make([]units.Resources, len(snapshot.Teams)) // requested by earlier submissions, by team
	sc.queue = sc.queue[:0]
	for _, job := range jobs {
		team, ok := index.teams[job.Spec.Team]
		if !ok {
			continue
		}
		committed[team] = committed[team].Plus(job.Spec.Request, job.Spec.Tasks)
		guarantee := snapshot.Teams[team].GuaranteedQuota
		withinGuarantee := committed[team].CPU <= guarantee.CPU && committed[team].GPU <= guarantee.GPU
		view := sc.jobView(job, team, withinGuarantee, now)
		index.views[job] = view
		if job.Cancelled || !job.Accepted() {
			continue
		}
		sc.queue = append(sc.queue, queuedJob{job, *view})
		if !jobSchedulable(job, now) {
			continue
		}
		countLiveTasks(view, job)
		snapshot.Jobs = append(snapshot.Jobs, *view)
		index.jobs = append(index.jobs, job)
	}
	slices.SortFunc(sc.queue, func(a, b queuedJob) int { return compareJobs(&a.view, &b.view) })
}

// jobView returns a view of a job without LiveByZone and LiveByMachine (see countLiveTasks).
func (sc *Scheduler) jobView(job *cluster.Job, team int, withinGuarantee bool, now units.Micros) *JobView {
	in := sc.rankInput(job)
	return &JobView{
		Spec:              &job.Spec,
		Team:              team,
		SubmittedAt:       int64(job.Submitted),
		Pending:           job.Pending(),
		LiveTasks:         len(job.LiveAttempts),
		WithinGuarantee:   withinGuarantee,
		AwaitsCompletions: sc.awaitsCompletions(job, now),
		MissesDeadline:    in.Late,
		Rank:              sc.Policy.Rank(in),
		Starved:           sc.starved(job) && len(job.LiveAttempts) == 0,
		WaitedLong:        now-job.WaitingSince() >= longWait,
		Avoid: func(machine string) bool {
			return job.FailedMachines.Avoided(machine, now) || !job.CanRecordMachine(machine)
		},
		FailedOn: job.FailedMachines.Has,
	}
}

// countLiveTasks counts a job's live tasks by zone if its placement depends on them, and for a
// service prepares LiveByMachine.
func countLiveTasks(view *JobView, job *cluster.Job) {
	view.LiveByZone, view.LiveByMachine = nil, nil
	if job.Spec.ZoneAffinity || job.Spec.ZoneSpread || job.IsService() {
		view.LiveByZone = map[string]int{}
		for attempt := range job.LiveAttempts.All() {
			view.LiveByZone[attempt.Machine.Zone]++
		}
	}
	if job.IsService() {
		view.LiveByMachine = map[int]int{} // filled by snapshotMachines
	}
}

// snapshotMachines adds the registered machines, and counts the replicas of waiting services
// on each.
func (sc *Scheduler) snapshotMachines(snapshot *Snapshot, index *snapshotIndex, now units.Micros, heartbeatFrom *cluster.Machine) {
	machines := sc.State.SortedMachines()
	snapshot.Machines = make([]MachineView, 0, len(machines))
	index.machines = make([]*cluster.Machine, 0, len(machines))
	servicesWait := slices.ContainsFunc(snapshot.Jobs, func(view JobView) bool { return view.LiveByMachine != nil })
	for _, m := range machines {
		if !m.Registered {
			continue
		}
		sc.evictBeforeTermination(m, now)
		view := sc.machineView(m, now, m == heartbeatFrom)
		if servicesWait {
			index.countReplicas(m, len(index.machines))
		}
		if view.Schedulable {
			view.Victims = func() []Victim { return sc.preemptionVictims(m, index, now) }
		}
		snapshot.Machines = append(snapshot.Machines, view)
		index.machines = append(index.machines, m)
	}
}

// countReplicas adds a machine's tasks to LiveByMachine of their services. machineIndex is the
// machine's index in the snapshot.
func (x *snapshotIndex) countReplicas(m *cluster.Machine, machineIndex int) {
	for _, attempt := range m.Attempts {
		if view := x.views[attempt.Job]; view != nil && view.LiveByMachine != nil {
			view.LiveByMachine[machineIndex]++
		}
	}
}

// machineView returns a view of a machine without its headroom and victims. heartbeatPending
// reports whether its heartbeat is being handled.
func (sc *Scheduler) machineView(m *cluster.Machine, now units.Micros, heartbeatPending bool) MachineView {
	untilHeartbeat := max(0, m.LastHeartbeat+sc.Settings.Fleet.Workers.HeartbeatInterval()-now)
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
		Services:               m.Services,
		HasImage:               m.HasImage,
		HeartbeatPending:       heartbeatPending,
		HalfSecondsToHeartbeat: int(untilHeartbeat / halfSecond),
	}
}

// halfSecond is the unit in which the start delays of candidate machines are compared: machines
// whose delays differ by less are compared by free capacity.
const halfSecond = units.Second / 2
