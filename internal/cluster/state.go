// Package cluster holds the leader's in-memory state of the fleet: jobs, their attempts,
// machines and the usage of teams. It tracks which records of that state must be written,
// builds the write batches for them, and decodes the records after a failover.
//
// State owns all of it and embeds the only mutex, which guards everything. No method of this
// package locks, blocks or does I/O: callers hold the mutex and pass in the current time.
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

// State is the leader's view of jobs, machines and teams. Callers lock it before any use. Its
// mutex also guards the fields of the leader's components (scheduler, failure detector,
// reconciler, autoscaler, persister), so that a decision and the data it is based on change
// together.
type State struct {
	sync.Mutex

	// Restored is set once the records have been read. Until then no request is answered.
	Restored bool
	// Released holds the machines that this leader released.
	Released ReleasedMachines
	// Completions is the rate at which tasks that end without being stopped free CPUs.
	Completions CompletionRate
	// AttemptsStarted is the number of attempts that this leader has numbered, see NextAttempt.
	AttemptsStarted uint64

	Jobs          map[string]*Job     // by ID
	Machines      map[string]*Machine // by ID
	Teams         map[string]*Team    // by name
	InstanceTypes map[string]protocol.InstanceType
	// Unreconciled is the index of the machines that have not been reconciled since the failover: a
	// job's records name them, and no heartbeat has shown which tasks they hold.
	Unreconciled MachineIndex
	// Expired is the index of the machines whose worker lease has expired and that have neither been
	// heard from since nor proven to be gone. Such a machine has ended its tasks unless it hangs.
	Expired MachineIndex
	// Outcomes holds the statistics of finished attempts.
	Outcomes Outcomes
	// AcceptCondition is an additional condition of write batches that accept new jobs: the
	// version of the plan that admits jobs. If it is nil, there is none.
	AcceptCondition *protocol.Condition

	sortedMachines []*Machine // by ID
	rules          recordRules
	staleRecords   []staleRecord // to be deleted
	memory         int64         // estimate for all live jobs, in bytes
}

// NewState returns an empty state that writes records in FormatV1 and keeps write
// batches within the limits of the key-value store.
func NewState(teams []config.Team, limits config.KVLimits) *State {
	s := &State{
		Released:      ReleasedMachines{},
		Jobs:          map[string]*Job{},
		Machines:      map[string]*Machine{},
		Teams:         map[string]*Team{},
		InstanceTypes: map[string]protocol.InstanceType{},
		Unreconciled:  newMachineIndex(func(j *Job) map[string]bool { return j.UnreconciledMachines }),
		Expired:       newMachineIndex(func(j *Job) map[string]bool { return j.ExpiredMachines }),
		rules:         newRecordRules(limits),
	}
	s.Outcomes = newOutcomes(s.Machines)
	for _, t := range teams {
		s.Teams[t.Name] = newTeam(t)
	}
	return s
}

// UpgradeFormat raises the format of records to one that every present and later leader can
// read. It marks all jobs in an older format as changed, so that they are migrated when they
// are next written. A format that is not above the current one has no effect.
func (s *State) UpgradeFormat(format storage.Format, now units.Micros) {
	format = min(format, storage.FormatV2) // later formats do not change the records of jobs
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

// ApplyNextLimits keeps all further write batches within the announced next limits of the
// key-value store. It reports whether the limits of write batches changed.
func (s *State) ApplyNextLimits() bool {
	was := s.rules.nextLimitsApplied
	s.rules.nextLimitsApplied = true
	return !was && s.rules.v1LeadersPossible()
}

// AddJob adds a job that was restored from its records.
func (s *State) AddJob(j *Job) {
	if !s.rules.v1LeadersPossible() && j.records.format == storage.FormatV1 {
		j.records.main.dirty, j.write.due = true, true // to be migrated to FormatV2
	}
	j.write.due = j.write.due || len(j.records.obsolete) > 0 // a former leader failed before it deleted them
	j.records.setNameLimits(s.rules.nameBudget)
	if s.Jobs[j.Spec.ID] == nil {
		s.memory += JobMemory(&j.Spec)
	}
	s.Jobs[j.Spec.ID] = j
	s.Unreconciled.addJob(j)
}

// removeJob removes a job that is in a terminal state or was never accepted.
func (s *State) removeJob(j *Job) {
	if s.Jobs[j.Spec.ID] != nil {
		s.memory -= JobMemory(&j.Spec)
		delete(s.Jobs, j.Spec.ID)
	}
	s.Unreconciled.removeJob(j)
	s.Expired.removeJob(j)
}

// NewJob adds a submitted job and marks an urgent write. The job is accepted only once its
// record is stored. wall is the time of day of the submission, now the steady time.
func (s *State) NewJob(spec protocol.JobSpec, wall, now units.Micros) *Job {
	j := newJob(spec, wall, s.rules.format)
	j.LearnedAt = now
	s.AddJob(j)
	j.MarkChanged(now, true)
	return j
}

// UnacceptedJobs returns the new jobs that are not yet in a write batch, in no order. The
// decision to admit them can still change.
func (s *State) UnacceptedJobs() []*Job {
	var out []*Job
	for _, j := range s.Jobs {
		if j.isNew() && !j.write.inFlight {
			out = append(out, j)
		}
	}
	return out
}

// DropUnaccepted removes a job that was never accepted, because its ID belongs to a finished
// job or because it is not admitted. It wakes the waiters of the job's due write. It has no
// effect on an accepted or unknown job.
func (s *State) DropUnaccepted(id string) {
	if j := s.Jobs[id]; j != nil && !j.stored {
		s.removeJob(j)
		j.write.wakeWaiters()
	}
}

// JobsBySubmission returns the jobs ordered by time of submission, then by ID.
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

// TaskDone marks task i of a job as done. It has no effect on a service or on a task that is
// already done.
func (s *State) TaskDone(j *Job, i int, now units.Micros) {
	if j.markDone(i) {
		j.MarkChanged(now, j.Complete())
	}
}
