package cluster

import (
	"iter"
	"maps"
	"slices"
)

// UnreconciledIndex contains the machines that have not been reconciled since the failover: a job's
// records name them, and no heartbeat has shown which tasks they hold. It shrinks as machines
// are reconciled, so the cost of an operation depends on the unreconciled machines and not on
// the size of the fleet. The mutex of its State guards it.
type UnreconciledIndex struct {
	jobsOf map[string][]*Job // by machine ID
	jobs   map[*Job]bool     // the set of all jobs in jobsOf
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

// removeJob removes a job that leaves the state.
func (u *UnreconciledIndex) removeJob(j *Job) {
	delete(u.jobs, j)
	for m := range j.UnreconciledMachines {
		u.jobsOf[m] = slices.DeleteFunc(u.jobsOf[m], func(o *Job) bool { return o == j })
		if len(u.jobsOf[m]) == 0 {
			delete(u.jobsOf, m)
		}
	}
}

// Mark adds an unreconciled machine of a job: it may hold tasks of the job, and no heartbeat has
// listed them.
func (u *UnreconciledIndex) Mark(j *Job, machine string) {
	if !j.UnreconciledMachines[machine] {
		j.UnreconciledMachines[machine] = true
		u.add(j, machine)
	}
}

// Resolve records that a machine is reconciled. It returns the jobs for which this was the last
// unreconciled machine.
func (u *UnreconciledIndex) Resolve(machine string) (resolved []*Job) {
	for _, j := range u.jobsOf[machine] {
		delete(j.UnreconciledMachines, machine)
		if len(j.UnreconciledMachines) == 0 {
			delete(u.jobs, j)
			resolved = append(resolved, j)
		}
	}
	delete(u.jobsOf, machine)
	return resolved
}

// JobCount returns the number of jobs that may have tasks on unreconciled machines.
func (u *UnreconciledIndex) JobCount() int { return len(u.jobs) }

// Contains reports whether the machine is unreconciled.
func (u *UnreconciledIndex) Contains(machine string) bool { return len(u.jobsOf[machine]) > 0 }

func (u *UnreconciledIndex) holdsCancelled(machine string) bool {
	return slices.ContainsFunc(u.jobsOf[machine], func(j *Job) bool { return j.Cancelled })
}

// Len returns the number of unreconciled machines.
func (u *UnreconciledIndex) Len() int { return len(u.jobsOf) }

// Machines returns the sorted IDs of the unreconciled machines.
func (u *UnreconciledIndex) Machines() []string { return slices.Sorted(maps.Keys(u.jobsOf)) }

// Jobs returns the jobs that may have tasks on unreconciled machines, in no order.
func (u *UnreconciledIndex) Jobs() iter.Seq[*Job] { return maps.Keys(u.jobs) }
