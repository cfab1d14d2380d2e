package cluster

import (
	"iter"
	"maps"
	"slices"
)

// UnreconciledIndex holds the machines that are not reconciled since the failover: a job's
// records name them, and no heartbeat has yet shown what they hold. Both maps shrink as
// machines are reconciled, so that each use costs what it has to do with and not the whole
// fleet. The lock of the State that owns it guards it.
type UnreconciledIndex struct {
	jobsOf map[string][]*Job // by machine
	jobs   map[*Job]bool     // all of these
}

func newUnreconciledIndex() UnreconciledIndex {
	return UnreconciledIndex{jobsOf: map[string][]*Job{}, jobs: map[*Job]bool{}}
}

func (u *UnreconciledIndex) add(j *Job, machine string) {
	u.jobsOf[machine] = append(u.jobsOf[machine], j)
	u.jobs[j] = true
}

// addJob adds all unreconciled machines of a job.
func (u *UnreconciledIndex) addJob(j *Job) {
	for m := range j.UnreconciledMachines {
		u.add(j, m)
	}
}

// removeJob drops a job that leaves the state.
func (u *UnreconciledIndex) removeJob(j *Job) {
	delete(u.jobs, j)
	for m := range j.UnreconciledMachines {
		u.jobsOf[m] = slices.DeleteFunc(u.jobsOf[m], func(o *Job) bool { return o == j })
		if len(u.jobsOf[m]) == 0 {
			delete(u.jobsOf, m)
		}
	}
}

// Mark notes that a machine may hold tasks of a job that no heartbeat has shown.
func (u *UnreconciledIndex) Mark(j *Job, machine string) {
	if !j.UnreconciledMachines[machine] {
		j.UnreconciledMachines[machine] = true
		u.add(j, machine)
	}
}

// Resolve notes that a machine is reconciled: all that it holds is known. It returns the jobs
// that have no unreconciled machine any more by that.
func (u *UnreconciledIndex) Resolve(machine string) (freed []*Job) {
	for _, j := range u.jobsOf[machine] {
		delete(j.UnreconciledMachines, machine)
		if len(j.UnreconciledMachines) == 0 {
			delete(u.jobs, j)
			freed = append(freed, j)
		}
	}
	delete(u.jobsOf, machine)
	return freed
}

// JobCount returns the number of jobs that may have tasks on unreconciled machines.
func (u *UnreconciledIndex) JobCount() int { return len(u.jobs) }

// Contains reports whether a job may have tasks on the machine that no heartbeat has shown.
func (u *UnreconciledIndex) Contains(machine string) bool { return len(u.jobsOf[machine]) > 0 }

func (u *UnreconciledIndex) holdsCancelled(machine string) bool {
	return slices.ContainsFunc(u.jobsOf[machine], func(j *Job) bool { return j.Cancelled })
}

// Len returns the number of unreconciled machines.
func (u *UnreconciledIndex) Len() int { return len(u.jobsOf) }

// Machines returns the IDs of the unreconciled machines in order.
func (u *UnreconciledIndex) Machines() []string { return slices.Sorted(maps.Keys(u.jobsOf)) }

// Jobs returns the jobs that may have tasks on unreconciled machines, in no order.
func (u *UnreconciledIndex) Jobs() iter.Seq[*Job] { return maps.Keys(u.jobs) }
