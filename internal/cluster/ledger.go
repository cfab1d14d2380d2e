// Package cluster is the state of the fleet in the leader's memory: jobs, their attempts,
// machines and teams' usage. It knows which records of that state have to be written,
// builds the write batches for them, and reads the records back after a failover.
package cluster

import (
	"cmp"
	"slices"
	"sort"
	"sync"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Team is a team and what may be running for it.
type Team struct {
	Name            string
	GuaranteedQuota units.Resources
	QuotaLimit      units.Resources
	Used            units.Resources
	Freeing         units.Resources // part of Used, held by attempts that were told to stop
}

// Exponential backoff of jobs whose tasks fail, and of replicas that keep ending.
const (
	errorBackoff      = units.Second / 4
	maxErrorBackoff   = 60 * units.Second
	replicaBackoff    = units.Second / 2
	maxReplicaBackoff = 30 * units.Second
)

// State is the leader's view of jobs, machines and teams. Lock it before any use: its mutex
// guards the state and also what the leader's components (scheduler, detector, reconciler,
// autoscaler, persister) remember between two uses of it, so that a decision and what it
// rests on cannot come apart.
type State struct {
	sync.Mutex

	// Restored is set once the records have been read; before it nothing is answered.
	Restored bool
	// Released remembers the machines that were released under this leader.
	Released ReleasedMachines
	// Completions is the rate at which tasks that end by themselves free processors.
	Completions CompletionRate
	// AttemptsStarted numbers the attempts of this leader.
	AttemptsStarted uint64

	Jobs              map[string]*Job
	Machines          map[string]*Machine
	Teams             map[string]*Team
	InstanceTypes     map[string]protocol.InstanceType
	runtimeRatios     map[string]float64 // run time against the owners' estimates
	sortedMachines    []*Machine         // by their names
	limits            config.State       // the limits of the state service
	nameSpace         nameSpaceFunc
	format            int           // of the fleet: the newest that every leader reads
	nextLimitsApplied bool          // the limits to come are known to hold
	staleRecords      []staleRecord // to be deleted
	memory            int64         // that the jobs are reckoned to take
	// unreconciled holds, by machine, the jobs whose records name it while nobody has
	// told us what it holds; inDoubt holds these jobs. Both shrink as machines
	// are confirmed, so that each costs what it has to do with and not the whole fleet.
	unreconciled     map[string][]*Job
	unreconciledJobs map[*Job]bool

	// AcceptCondition is what the acceptance of a new job is conditional on, beside the job's
	// own records: the version of the plan that admits jobs. nil: on nothing.
	AcceptCondition *protocol.Condition
	// OnRunObserved is told of each task that was seen to run from its start to its end.
	OnRunObserved func(j *Job, run units.Micros)
}

// NewState makes an empty ledger for records in the old form, within the limits
// of the state service.
func NewState(teams []config.Team, state config.State) *State {
	l := &State{
		Released:         ReleasedMachines{},
		limits:           state,
		nameSpace:        newNameSpace(state.ValueBytes(), state.Both().ValueBytes()),
		format:           storage.FormatOld,
		Jobs:             map[string]*Job{},
		Machines:         map[string]*Machine{},
		Teams:            map[string]*Team{},
		InstanceTypes:    map[string]protocol.InstanceType{},
		runtimeRatios:    map[string]float64{},
		unreconciled:     map[string][]*Job{},
		unreconciledJobs: map[*Job]bool{},
	}
	for _, t := range teams {
		l.Teams[t.Name] = &Team{
			Name:       t.Name,
			QuotaLimit: QuotaLimitOf(t),
			GuaranteedQuota: units.Resources{
				CPU:    units.AmountOf(t.CPUs),
				GPU:    units.AmountOf(t.GPUs),
				Memory: unlimited,
			},
		}
	}
	return l
}

// UpgradeFormat takes over that every leader, now and later, reads a format. Records in
// the old form are turned as they are written, and all of them in time.
func (l *State) UpgradeFormat(format int, now units.Micros) {
	format = min(format, storage.FormatNew) // jobs' records are the same in later ones
	if format <= l.format {
		return
	}
	l.format = format
	for _, j := range l.Jobs {
		if j.format < format {
			j.main.dirty = true
			j.MarkChanged(now, false)
		}
	}
}

// oldLeadersPossible tells whether a leader may come that reads the old form alone.
func (l *State) oldLeadersPossible() bool { return l.format < storage.FormatNew }

// ApplyNextLimits takes over that the limits to come hold already, and tells whether
// that was new.
func (l *State) ApplyNextLimits() bool {
	was := l.nextLimitsApplied
	l.nextLimitsApplied = true
	return !was && l.oldLeadersPossible()
}

// maxChanges is the most changes in a transaction.
func (l *State) maxChanges() int {
	if l.nextLimitsApplied || !l.oldLeadersPossible() {
		return l.limits.Both().TxnOps
	}
	return l.limits.TxnOps
}

// unlimited stands for what a team may use where it has no limit. It is far from the
// bounds of Amount, so that sums and shares of it do not overflow.
const unlimited = units.Amount(1) << 56

// QuotaLimitOf is what a team's tasks may use at any time. A limit of 0 in the settings is
// none: guests, for instance, have neither guarantee nor limit.
func QuotaLimitOf(t config.Team) units.Resources {
	return units.Resources{
		CPU:    quotaAmount(t.CPUsMax),
		GPU:    quotaAmount(t.GPUsMax),
		Memory: unlimited,
	}
}

func quotaAmount(setting float64) units.Amount {
	if setting == 0 {
		return unlimited
	}
	return units.AmountOf(setting)
}

// SetInstanceTypes takes over the cloud's catalog.
func (l *State) SetInstanceTypes(types []protocol.InstanceType) {
	for _, t := range types {
		l.InstanceTypes[t.Name] = t
	}
	for _, m := range l.Machines {
		l.setCapacity(m)
	}
}

// CapacityOf is what a machine of a type has.
func CapacityOf(t protocol.InstanceType) units.Resources {
	return units.Resources{
		CPU:    units.AmountOf(t.CPUs),
		GPU:    units.AmountOf(t.GPUs),
		Memory: units.AmountOf(t.MemoryGB),
	}
}

func (l *State) setCapacity(m *Machine) {
	if t, ok := l.InstanceTypes[m.InstanceType]; ok {
		m.Capacity, m.ImageCache = CapacityOf(t), units.AmountOf(t.CacheGB)
	}
}

// EnsureMachine gives the machine of that name, made if need be.
func (l *State) EnsureMachine(id, typ, zone string, spot bool, now units.Micros) *Machine {
	m := l.Machines[id]
	if m == nil {
		m = &Machine{ID: id, InstanceType: typ, Zone: zone, Spot: spot, RentedAt: now, IdleSince: now,
			Attempts: map[AttemptKey]*Attempt{}, failedJobs: map[string]bool{}}
		l.Machines[id] = m
		i, _ := l.findMachine(id)
		l.sortedMachines = slices.Insert(l.sortedMachines, i, m)
		l.setCapacity(m)
	}
	return m
}

func (l *State) findMachine(id string) (int, bool) {
	return slices.BinarySearchFunc(l.sortedMachines, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
}

// SortedMachines lists the machines in the order of their names. It is the ledger's
// own list.
func (l *State) SortedMachines() []*Machine { return l.sortedMachines }

// AddJob takes in a job read from its record.
func (l *State) AddJob(j *Job) {
	if !l.oldLeadersPossible() && j.format == storage.FormatOld {
		j.main.dirty, j.changed = true, true // to be migrated to the new form
	}
	j.changed = j.changed || len(j.obsolete) > 0 // a leader died before they were deleted
	j.setNameSpace(l.nameSpace)
	if l.Jobs[j.Spec.ID] == nil {
		l.memory += JobMemory(&j.Spec)
	}
	l.Jobs[j.Spec.ID] = j
	for m := range j.UnreconciledMachines {
		l.addUnreconciled(j, m)
	}
}

// removeJob drops a job that is over, or was never accepted.
func (l *State) removeJob(j *Job) {
	if l.Jobs[j.Spec.ID] != nil {
		l.memory -= JobMemory(&j.Spec)
		delete(l.Jobs, j.Spec.ID)
	}
	delete(l.unreconciledJobs, j)
	for m := range j.UnreconciledMachines {
		if l.unreconciled[m] = slices.DeleteFunc(l.unreconciled[m], func(o *Job) bool { return o == j }); len(l.unreconciled[m]) == 0 {
			delete(l.unreconciled, m)
		}
	}
}

// NewJob adds a submitted job, which is not accepted until it is saved.
func (l *State) NewJob(spec protocol.JobSpec, wall, now units.Micros) *Job {
	j := newJob(spec, wall, l.format)
	j.LearnedAt = now
	l.AddJob(j)
	j.MarkChanged(now, true)
	return j
}

// Assign gives the next pending task of a job to a machine.
func (l *State) Assign(j *Job, m *Machine, number uint64, now units.Micros) *Attempt {
	i, ok := j.takePendingTask()
	if !ok {
		return nil
	}
	if c := j.shardOf[m.ID]; c == nil || c.dirty && !c.machines[m.ID] {
		j.recordMachine(m.ID)
		j.MarkChanged(now, true)
	}
	return l.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Assigned, AssignedAt: now})
}

// Adopt takes in an attempt that a machine reported and that this leader did
// not start.
func (l *State) Adopt(j *Job, i int, number uint64, m *Machine, now units.Micros) *Attempt {
	if j.recordMachine(m.ID) {
		j.MarkChanged(now, false)
	}
	return l.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Fetching, AssignedAt: now})
}

func (l *State) attach(a *Attempt) *Attempt {
	a.Job.LiveAttempts[a.Index] = a
	a.Job.attemptsByMachine[a.Machine.ID]++
	a.Machine.Attempts[AttemptKey{a.Job.Spec.ID, a.Index, a.Number}] = a
	l.addUsage(a, 1)
	return a
}

func (l *State) addUsage(a *Attempt, n int) {
	a.Machine.Used = a.Machine.Used.Plus(a.Job.Spec.Request, n)
	if t := l.Teams[a.Job.Spec.Team]; t != nil {
		t.Used = t.Used.Plus(a.Job.Spec.Request, n)
	}
	if a.Stopping {
		l.addFreeing(a, n)
	}
}

func (l *State) addFreeing(a *Attempt, n int) {
	a.Machine.Freeing = a.Machine.Freeing.Plus(a.Job.Spec.Request, n)
	if t := l.Teams[a.Job.Spec.Team]; t != nil {
		t.Freeing = t.Freeing.Plus(a.Job.Spec.Request, n)
	}
}

// StopAttempt notes that an attempt is to be stopped, with some time to save.
func (l *State) StopAttempt(a *Attempt, grace units.Micros) {
	if !a.Stopping {
		a.Stopping = true
		l.addFreeing(a, 1)
	}
	a.GracePeriod = grace
}

// AttemptGone notes that an attempt is certainly not on its machine any more. Unless
// its task is done, the task is pending again.
func (l *State) AttemptGone(a *Attempt, now units.Micros) {
	key := AttemptKey{a.Job.Spec.ID, a.Index, a.Number}
	if a.Machine.Attempts[key] != a {
		return
	}
	delete(a.Machine.Attempts, key)
	if a.Job.attemptsByMachine[a.Machine.ID]--; a.Job.attemptsByMachine[a.Machine.ID] == 0 {
		delete(a.Job.attemptsByMachine, a.Machine.ID)
	}
	if a.Job.LiveAttempts[a.Index] == a {
		delete(a.Job.LiveAttempts, a.Index)
		if !a.Job.IsDone(a.Index) {
			a.Job.retryTasks = append(a.Job.retryTasks, a.Index)
		}
	}
	l.addUsage(a, -1)
	if len(a.Machine.Attempts) == 0 {
		a.Machine.IdleSince = now
	}
}

// RemoveMachine drops a machine that is certainly gone, and all that was on it.
func (l *State) RemoveMachine(m *Machine, now units.Micros) {
	l.MachineEmptied(m, now)
	l.MarkReconciled(m.ID)
	delete(l.Machines, m.ID)
	if i, ok := l.findMachine(m.ID); ok {
		l.sortedMachines = slices.Delete(l.sortedMachines, i, i+1)
	}
}

// MachineEmptied notes that nothing that was on the machine is there any more.
func (l *State) MachineEmptied(m *Machine, now units.Micros) {
	for _, a := range sortedAttempts(m) {
		l.AttemptGone(a, now)
	}
}

func sortedAttempts(m *Machine) []*Attempt {
	out := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool {
		if a, b := out[i].Job.Spec.ID, out[k].Job.Spec.ID; a != b {
			return a < b
		}
		return out[i].Index < out[k].Index
	})
	return out
}

// RecordImage notes that a machine has a job's image.
func (l *State) RecordImage(m *Machine, j *Job) {
	if j.Spec.ImageSize > 0 {
		m.touchImage(j.Spec.Image, j.Spec.ImageSize)
	}
}

// HasTasksToPlace tells whether tasks of the job are to be placed.
func (j *Job) HasTasksToPlace() bool { return j.stored && !j.Cancelled && j.Pending() > 0 }

// SortedAttempts lists the machine's attempts in a fixed order.
func (m *Machine) SortedAttempts() []*Attempt { return sortedAttempts(m) }

// JobsBySubmission lists the jobs in the order of their submission, of those submitted at
// the same time by their id.
func (l *State) JobsBySubmission() []*Job {
	jobs := make([]*Job, 0, len(l.Jobs))
	for _, j := range l.Jobs {
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

// NextAttempt returns a number for an attempt that no leader has used before: the fencing
// token is in it, and no two leaders have the same one.
func (l *State) NextAttempt(token uint64) uint64 {
	l.AttemptsStarted++
	return token<<32 | l.AttemptsStarted
}
