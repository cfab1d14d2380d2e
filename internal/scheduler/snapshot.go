package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// snapshotIndex leads from the places in a snapshot back to the state, and the other way.
type snapshotIndex struct {
	jobs     []*cluster.Job
	machines []*cluster.Machine
	victims  []*cluster.Attempt // by Victim.Ref; grows as machines are asked for theirs
	teams    map[string]int     // places of the teams, by name
	// views are all jobs of known teams, whether they wait or not.
	views map[*cluster.Job]*JobView
}

// queuedJob is a waiting job as the last cycle saw it.
type queuedJob struct {
	job  *cluster.Job
	view JobView
}

// TakeSnapshot returns a snapshot of what a cycle decides on. answering is the machine whose
// heartbeat is being answered, nil if none is. It also updates the queue and the headroom,
// and evicts tasks from machines that are to be taken away.
func (sc *Scheduler) TakeSnapshot(now units.Micros, answering *cluster.Machine) (Snapshot, *snapshotIndex) {
	var snapshot Snapshot
	index := new(snapshotIndex)
	sc.State.Completions.Advance(now)
	index.teams = sc.snapshotTeams(&snapshot)
	sc.snapshotJobs(&snapshot, index, now)
	sc.snapshotMachines(&snapshot, index, now, answering)
	sc.updateHeadroom(&snapshot, index.machines)
	pending := 0
	for i := range snapshot.Jobs {
		pending += snapshot.Jobs[i].Pending
	}
	snapshot.MaxPlacements = min(minCyclePlacements+pending/pendingPerPlacement, maxCyclePlacements)
	return snapshot, index
}

// snapshotTeams adds the teams to a snapshot and returns their places in it, by name. Tasks
// that unreconciled machines may hold count as used.
func (sc *Scheduler) snapshotTeams(snapshot *Snapshot) map[string]int {
	places := make(map[string]int, len(sc.State.Teams))
	for _, name := range sorted.Keys(sc.State.Teams) {
		team := sc.State.Teams[name]
		places[name] = len(snapshot.Teams)
		snapshot.Teams = append(snapshot.Teams, TeamView{
			GuaranteedQuota: team.GuaranteedQuota,
			QuotaLimit:      team.QuotaLimit,
			Used:            team.Used,
			Freeing:         team.Freeing,
		})
	}
	if sc.Detector.AllReconciled() {
		return places
	}
	for job := range sc.State.Unreconciled.Jobs() {
		if i, ok := places[job.Spec.Team]; ok {
			team := &snapshot.Teams[i]
			team.Used = team.Used.Plus(job.Spec.Request, job.UnreconciledTasks())
		}
	}
	return places
}

// snapshotJobs adds the jobs that wait and may be placed, and updates the queue of all that
// wait.
func (sc *Scheduler) snapshotJobs(snapshot *Snapshot, index *snapshotIndex, now units.Micros) {
	jobs := sc.State.JobsBySubmission()
	snapshot.Jobs = make([]JobView, 0, len(jobs))
	index.jobs = make([]*cluster.Job, 0, len(jobs))
	index.views = make(map[*cluster.Job]*JobView, len(jobs))
	committed := make([]units.Resources, len(snapshot.Teams)) // by the jobs so far, by team
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
		fillTopology(view, job)
		snapshot.Jobs = append(snapshot.Jobs, *view)
		index.jobs = append(index.jobs, job)
	}
	slices.SortFunc(sc.queue, func(a, b queuedJob) int { return compareJobs(&a.view, &b.view) })
}

// maxAvoidedMachines is how many machines a job avoids because its tasks failed there. Where
// they fail on more, the job is to blame.
const maxAvoidedMachines = 2

// jobView returns a view of a job without its topology.
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
		Avoid: func(machine string) bool {
			return job.FailedMachines[machine] && len(job.FailedMachines) <= maxAvoidedMachines || !job.CanRecordMachine(machine)
		},
	}
}

// fillTopology fills in where a job's tasks are, for jobs whose placement depends on it.
func fillTopology(view *JobView, job *cluster.Job) {
	view.LiveByZone, view.LiveByMachine = nil, nil
	if job.Spec.ZoneAffinity || job.Spec.ZoneSpread || job.IsService() {
		view.LiveByZone = map[string]int{}
		for attempt := range job.LiveAttempts.All() {
			view.LiveByZone[attempt.Machine.Zone]++
		}
	}
	if job.IsService() {
		view.LiveByMachine = map[int]int{} // snapshotMachines fills it
	}
}

// snapshotMachines adds the machines that have sent a heartbeat, and counts the replicas on
// each.
func (sc *Scheduler) snapshotMachines(snapshot *Snapshot, index *snapshotIndex, now units.Micros, answering *cluster.Machine) {
	machines := sc.State.SortedMachines()
	snapshot.Machines = make([]MachineView, 0, len(machines))
	index.machines = make([]*cluster.Machine, 0, len(machines))
	servicesWait := slices.ContainsFunc(snapshot.Jobs, func(view JobView) bool { return view.LiveByMachine != nil })
	for _, m := range machines {
		if !m.Registered {
			continue
		}
		sc.evictBeforeTermination(m, now)
		view := sc.machineView(m, now, m == answering)
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

// countReplicas counts a machine's tasks in the views of their jobs, under the machine's
// place in the snapshot.
func (x *snapshotIndex) countReplicas(m *cluster.Machine, place int) {
	for _, attempt := range m.Attempts {
		if view := x.views[attempt.Job]; view != nil && view.LiveByMachine != nil {
			view.LiveByMachine[place]++
		}
	}
}

// machineView returns a view of a machine. answering reports whether its heartbeat is being
// answered.
func (sc *Scheduler) machineView(m *cluster.Machine, now units.Micros, answering bool) MachineView {
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
		HasImage:               m.HasImage,
		HeartbeatPending:       answering,
		HalfSecondsToHeartbeat: int(untilHeartbeat / halfSecond),
	}
}

// halfSecond is the unit of delays that candidate machines are compared by. Shorter
// differences do not matter next to the free capacity.
const halfSecond = units.Second / 2
