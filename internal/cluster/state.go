// Package cluster is the state of the fleet in the leader's memory: jobs, their attempts,
// machines and the usage of teams. It knows which records of that state have to be written,
// builds the write batches for them, and reads the records back after a failover.
//
// State owns all of it and has the one mutex that guards it. No method here locks, waits or
// does I/O: callers hold the mutex and pass in the time.
package cluster

import (
	"cmp"
	"slices"
	"sync"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// State is the leader's view of jobs, machines and teams. Lock it before any use: its mutex
// guards the state and also what the leader's components (scheduler, detector, reconciler,
// autoscaler, persister) remember between two uses of it, so that a decision and what it
// rests on cannot come apart.
type State struct {
	sync.Mutex

	// Restored is set once the records have been read; before it no request is answered.
	Restored bool
	// Released remembers the machines that were released under this leader.
	Released ReleasedMachines
	// Completions is the rate at which tasks that end by themselves free processors.
	Completions CompletionRate
	// AttemptsStarted numbers the attempts of this leader.
	AttemptsStarted uint64

	Jobs          map[string]*Job     // by ID
	Machines      map[string]*Machine // by ID
	Teams         map[string]*Team    // by name
	InstanceTypes map[string]protocol.InstanceType
	// Unreconciled is the index of machines not reconciled since the failover.
	Unreconciled UnreconciledIndex
	// Outcomes learns from the ends of attempts.
	Outcomes Outcomes
	// AcceptCondition is what the acceptance of a new job is conditional on, beside the job's
	// own records: the version of the plan that admits jobs. nil: on nothing.
	AcceptCondition *protocol.Condition

	sortedMachines []*Machine // by ID
	rules          recordRules
	staleRecords   []staleRecord // to be deleted
	memory         int64         // estimate for all jobs, in bytes
}

// NewState returns an empty state for records in the old format, within the limits of the
// key-value store.
func NewState(teams []config.Team, limits config.KVLimits) *State {
	s := &State{
		Released:      ReleasedMachines{},
		Jobs:          map[string]*Job{},
		Machines:      map[string]*Machine{},
		Teams:         map[string]*Team{},
		InstanceTypes: map[string]protocol.InstanceType{},
		Unreconciled:  newUnreconciledIndex(),
		rules:         newRecordRules(limits),
	}
	s.Outcomes = newOutcomes(s.Machines)
	for _, t := range teams {
		s.Teams[t.Name] = newTeam(t)
	}
	return s
}

// UpgradeFormat raises the format of records to one that every leader, now and later, reads.
// Records in the old format are migrated as they are written, and all of them in time. A
// lower format than the present one has no effect.
func (s *State) UpgradeFormat(format storage.Format, now units.Micros) {
	format = min(format, storage.FormatNew) // jobs' records are the same in later ones
	if format <= s.rules.format {
		return
	}
	s.rules.format = format
	for _, j := range s.Jobs {
		if j.records.format < format {
			j.records.main.dirty = true
			j.MarkChanged(now, false)
		}
	}
}

// ApplyNextLimits keeps write batches within the announced next limits of the key-value
// store from now on, and reports whether that changes anything.
func (s *State) ApplyNextLimits() bool {
	was := s.rules.nextLimitsApplied
	s.rules.nextLimitsApplied = true
	return !was && s.rules.oldLeadersPossible()
}

// AddJob adds a job that was read from its records.
func (s *State) AddJob(j *Job) {
	if !s.rules.oldLeadersPossible() && j.records.format == storage.FormatOld {
		j.records.main.dirty, j.write.due = true, true // to be migrated to the new format
	}
	j.write.due = j.write.due || len(j.records.obsolete) > 0 // a leader died before they were deleted
	j.records.setNameLimits(s.rules.nameBudget)
	if s.Jobs[j.Spec.ID] == nil {
		s.memory += JobMemory(&j.Spec)
	}
	s.Jobs[j.Spec.ID] = j
	s.Unreconciled.addJob(j)
}

// removeJob drops a job in its terminal state, or one that was never accepted.
func (s *State) removeJob(j *Job) {
	if s.Jobs[j.Spec.ID] != nil {
		s.memory -= JobMemory(&j.Spec)
		delete(s.Jobs, j.Spec.ID)
	}
	s.Unreconciled.removeJob(j)
}

// NewJob adds a submitted job. It is not accepted until its record is written, which is due
// at once. wall is the time of day of the submission, now the steady time.
func (s *State) NewJob(spec protocol.JobSpec, wall, now units.Micros) *Job {
	j := newJob(spec, wall, s.rules.format)
	j.LearnedAt = now
	s.AddJob(j)
	j.MarkChanged(now, true)
	return j
}

// UnacceptedJobs returns the jobs whose acceptance is not in a write batch in flight: whether
// they are admitted may be asked again.
func (s *State) UnacceptedJobs() []*Job {
	var out []*Job
	for _, j := range s.Jobs {
		if j.isNew() && !j.write.inFlight {
			out = append(out, j)
		}
	}
	return out
}

// DropUnaccepted removes a job that was never accepted: its ID turned out to be that of a
// finished job, or it is not admitted after all. Whoever waits for its write is woken.
func (s *State) DropUnaccepted(id string) {
	if j := s.Jobs[id]; j != nil && !j.stored {
		s.removeJob(j)
		j.write.wakeAll()
	}
}

// JobsBySubmission returns the jobs in the order of their submission, those submitted at
// the same time by ID.
func (s *State) JobsBySubmission() []*Job {
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs
}

// TaskDone notes that a task has completed. It has no effect on a service or a task that is
// done already.
func (s *State) TaskDone(j *Job, i int, now units.Micros) {
	if j.markDone(i) {
		j.MarkChanged(now, j.Complete())
	}
}
