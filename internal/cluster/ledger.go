// Package cluster is the state of the fleet in the leader's memory: jobs, their attempts,
// machines and teams' usage. It knows which records of that state have to be written,
// builds the write batches for them, and reads the records back after a failover.
package cluster

import (
	"cmp"
	"slices"
	"sort"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Team is a team and what may be running for it.
type Team struct {
	Name      string
	Guarantee units.Resources
	Limit     units.Resources
	Used      units.Resources
	Freeing   units.Resources // part of Used, held by attempts that were told to stop
}

// Exponential backoff of jobs whose tasks fail, and of replicas that keep ending.
const (
	errorBackoff      = units.Second / 4
	maxErrorBackoff   = 60 * units.Second
	replicaBackoff    = units.Second / 2
	maxReplicaBackoff = 30 * units.Second
)

// Ledger is the leader's view of jobs, machines and teams. It is not safe for
// concurrent use.
type Ledger struct {
	Jobs     map[string]*Job
	Machines map[string]*Machine
	Teams    map[string]*Team
	Types    map[string]protocol.MachineType
	classes  map[string]float64 // run time against the owners' estimates
	ordered  []*Machine         // by their names
	state    config.State       // the limits of the state service
	rooms    roomFor
	format   int        // of the fleet: the newest that every leader reads
	tight    bool       // the limits to come are known to hold
	left     []leftover // to be deleted
	memory   int64      // that the jobs are reckoned to take
	// unconfirmed holds, by machine, the jobs whose records name it while nobody has
	// told us what it holds; inDoubt holds these jobs. Both shrink as machines
	// are confirmed, so that each costs what it has to do with and not the whole fleet.
	unconfirmed     map[string][]*Job
	unconfirmedJobs map[*Job]bool

	// Acceptance is what the acceptance of a new job is conditional on, beside the job's
	// own records: the version of the plan that admits jobs. nil: on nothing.
	Acceptance *protocol.Condition
	// RunSeen is told of each task that was seen to run from its start to its end.
	RunSeen func(j *Job, run units.Micros)
}

// NewLedger makes an empty ledger for records in the old form, within the limits
// of the state service.
func NewLedger(teams []config.Team, state config.State) *Ledger {
	l := &Ledger{
		state:           state,
		rooms:           rooms(state.ValueBytes(), state.Both().ValueBytes()),
		format:          storage.FormatOld,
		Jobs:            map[string]*Job{},
		Machines:        map[string]*Machine{},
		Teams:           map[string]*Team{},
		Types:           map[string]protocol.MachineType{},
		classes:         map[string]float64{},
		unconfirmed:     map[string][]*Job{},
		unconfirmedJobs: map[*Job]bool{},
	}
	for _, t := range teams {
		l.Teams[t.Name] = &Team{
			Name:  t.Name,
			Limit: LimitOf(t),
			Guarantee: units.Resources{
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
func (l *Ledger) UpgradeFormat(format int, now units.Micros) {
	format = min(format, storage.FormatNew) // jobs' records are the same in later ones
	if format <= l.format {
		return
	}
	l.format = format
	for _, j := range l.Jobs {
		if j.format < format {
			j.main.dirty = true
			j.Changed(now, false)
		}
	}
}

// oldLeaders tells whether a leader may come that reads the old form alone.
func (l *Ledger) oldLeaders() bool { return l.format < storage.FormatNew }

// ApplyNextLimits takes over that the limits to come hold already, and tells whether
// that was new.
func (l *Ledger) ApplyNextLimits() bool {
	was := l.tight
	l.tight = true
	return !was && l.oldLeaders()
}

// ops is the most changes in a transaction.
func (l *Ledger) ops() int {
	if l.tight || !l.oldLeaders() {
		return l.state.Both().TxnOps
	}
	return l.state.TxnOps
}

// unlimited stands for what a team may use where it has no limit. It is far from the
// bounds of Amount, so that sums and shares of it do not overflow.
const unlimited = units.Amount(1) << 56

// LimitOf is what a team's tasks may use at any time. A limit of 0 in the settings is
// none: guests, for instance, have neither guarantee nor limit.
func LimitOf(t config.Team) units.Resources {
	return units.Resources{
		CPU:    limitAmount(t.CPUsMax),
		GPU:    limitAmount(t.GPUsMax),
		Memory: unlimited,
	}
}

func limitAmount(setting float64) units.Amount {
	if setting == 0 {
		return unlimited
	}
	return units.AmountOf(setting)
}

// SetTypes takes over the cloud's catalog.
func (l *Ledger) SetTypes(types []protocol.MachineType) {
	for _, t := range types {
		l.Types[t.Name] = t
	}
	for _, m := range l.Machines {
		l.size(m)
	}
}

// SizeOf is what a machine of a type has.
func SizeOf(t protocol.MachineType) units.Resources {
	return units.Resources{
		CPU:    units.AmountOf(t.CPUs),
		GPU:    units.AmountOf(t.GPUs),
		Memory: units.AmountOf(t.MemoryGB),
	}
}

func (l *Ledger) size(m *Machine) {
	if t, ok := l.Types[m.Type]; ok {
		m.Size, m.Cache = SizeOf(t), units.AmountOf(t.CacheGB)
	}
}

// Machine gives the machine of that name, made if need be.
func (l *Ledger) Machine(id, typ, zone string, spot bool, now units.Micros) *Machine {
	m := l.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Type: typ, Zone: zone, Spot: spot, Rented: now, IdleSince: now,
			Attempts: map[AttemptKey]*Attempt{}, errorJobs: map[string]bool{}}
		l.Machines[id] = m
		i, _ := l.find(id)
		l.ordered = slices.Insert(l.ordered, i, m)
		l.size(m)
	}
	return m
}

func (l *Ledger) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.ordered, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
}

// Ordered lists the machines in the order of their names. It is the ledger's
// own list.
func (l *Ledger) Ordered() []*Machine { return l.ordered }

// Add takes in a job read from its record.
func (l *Ledger) Add(j *Job) {
	if !l.oldLeaders() && j.format == storage.FormatOld {
		j.main.dirty, j.changed = true, true // to be migrated to the new form
	}
	j.changed = j.changed || len(j.obsolete) > 0 // a leader died before they were deleted
	j.setRooms(l.rooms)
	if l.Jobs[j.Spec.ID] == nil {
		l.memory += MemoryOf(&j.Spec)
	}
	l.Jobs[j.Spec.ID] = j
	for m := range j.Unconfirmed {
		l.addUnconfirmed(j, m)
	}
}

// remove drops a job that is over, or was never accepted.
func (l *Ledger) remove(j *Job) {
	if l.Jobs[j.Spec.ID] != nil {
		l.memory -= MemoryOf(&j.Spec)
		delete(l.Jobs, j.Spec.ID)
	}
	delete(l.unconfirmedJobs, j)
	for m := range j.Unconfirmed {
		if l.unconfirmed[m] = slices.DeleteFunc(l.unconfirmed[m], func(o *Job) bool { return o == j }); len(l.unconfirmed[m]) == 0 {
			delete(l.unconfirmed, m)
		}
	}
}

// NewJob adds a submitted job, which is not accepted until it is saved.
func (l *Ledger) NewJob(spec protocol.JobSpec, wall, now units.Micros) *Job {
	j := newJob(spec, wall, l.format)
	j.Since = now
	l.Add(j)
	j.Changed(now, true)
	return j
}

// Assign gives the next pending task of a job to a machine.
func (l *Ledger) Assign(j *Job, m *Machine, number uint64, now units.Micros) *Attempt {
	i, ok := j.next()
	if !ok {
		return nil
	}
	if c := j.shardOf[m.ID]; c == nil || c.dirty && !c.machines[m.ID] {
		j.name(m.ID)
		j.Changed(now, true)
	}
	return l.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Assigned, Assigned: now})
}

// Adopt takes in an attempt that a machine reported and that this leader did
// not start.
func (l *Ledger) Adopt(j *Job, i int, number uint64, m *Machine, now units.Micros) *Attempt {
	if j.name(m.ID) {
		j.Changed(now, false)
	}
	return l.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Fetching, Assigned: now})
}

func (l *Ledger) attach(a *Attempt) *Attempt {
	a.Job.Live[a.Index] = a
	a.Job.on[a.Machine.ID]++
	a.Machine.Attempts[AttemptKey{a.Job.Spec.ID, a.Index, a.Number}] = a
	l.count(a, 1)
	return a
}

func (l *Ledger) count(a *Attempt, n int) {
	a.Machine.Used = a.Machine.Used.Plus(a.Job.Spec.Need, n)
	if t := l.Teams[a.Job.Spec.Team]; t != nil {
		t.Used = t.Used.Plus(a.Job.Spec.Need, n)
	}
	if a.Stop {
		l.freeing(a, n)
	}
}

func (l *Ledger) freeing(a *Attempt, n int) {
	a.Machine.Freeing = a.Machine.Freeing.Plus(a.Job.Spec.Need, n)
	if t := l.Teams[a.Job.Spec.Team]; t != nil {
		t.Freeing = t.Freeing.Plus(a.Job.Spec.Need, n)
	}
}

// Stop notes that an attempt is to be stopped, with some time to save.
func (l *Ledger) Stop(a *Attempt, grace units.Micros) {
	if !a.Stop {
		a.Stop = true
		l.freeing(a, 1)
	}
	a.Grace = grace
}

// Gone notes that an attempt is certainly not on its machine any more. Unless
// its task is done, the task is pending again.
func (l *Ledger) Gone(a *Attempt, now units.Micros) {
	key := AttemptKey{a.Job.Spec.ID, a.Index, a.Number}
	if a.Machine.Attempts[key] != a {
		return
	}
	delete(a.Machine.Attempts, key)
	if a.Job.on[a.Machine.ID]--; a.Job.on[a.Machine.ID] == 0 {
		delete(a.Job.on, a.Machine.ID)
	}
	if a.Job.Live[a.Index] == a {
		delete(a.Job.Live, a.Index)
		if !a.Job.IsDone(a.Index) {
			a.Job.retry = append(a.Job.retry, a.Index)
		}
	}
	l.count(a, -1)
	if len(a.Machine.Attempts) == 0 {
		a.Machine.IdleSince = now
	}
}

// Remove drops a machine that is certainly gone, and all that was on it.
func (l *Ledger) Remove(m *Machine, now units.Micros) {
	l.Emptied(m, now)
	l.Confirm(m.ID)
	delete(l.Machines, m.ID)
	if i, ok := l.find(m.ID); ok {
		l.ordered = slices.Delete(l.ordered, i, i+1)
	}
}

// Emptied notes that nothing that was on the machine is there any more.
func (l *Ledger) Emptied(m *Machine, now units.Micros) {
	for _, a := range sortedAttempts(m) {
		l.Gone(a, now)
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

// HoldsImage notes that a machine has a job's image.
func (l *Ledger) HoldsImage(m *Machine, j *Job) {
	if j.Spec.ImageSize > 0 {
		m.touchImage(j.Spec.Image, j.Spec.ImageSize)
	}
}

// Waiting tells whether tasks of the job are to be placed.
func (j *Job) Waiting() bool { return j.stored && !j.Cancelled && j.Pending() > 0 }

// Sorted lists the machine's attempts in a fixed order.
func (m *Machine) Sorted() []*Attempt { return sortedAttempts(m) }
