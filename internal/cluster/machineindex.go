package cluster

import (
	"iter"
	"maps"
	"slices"
)

// MachineIndex contains the machines in one of the sets that each job has of machines that may hold
// its tasks. It shrinks as it becomes known what these machines hold, so the cost of an operation
// depends on the machines in it and not on the size of the fleet. The mutex of its State guards it.
type MachineIndex struct {
	machinesOf func(*Job) map[string]bool // the job's set, by machine ID
	jobsOf     map[string][]*Job          // by machine ID
	jobs       map[*Job]bool              // the set of all jobs in jobsOf
}

func newMachineIndex(machinesOf func(*Job) map[string]bool) MachineIndex {
	return MachineIndex{machinesOf: machinesOf, jobsOf: map[string][]*Job{}, jobs: map[*Job]bool{}}
}

func (x *MachineIndex) add(j *Job, machine string) {
	x.jobsOf[machine] = append(x.jobsOf[machine], j)
	x.jobs[j] = true
}

// addJob adds all machines in the set of a job.
func (x *MachineIndex) addJob(j *Job) {
	for m := range x.machinesOf(j) {
		x.add(j, m)
	}
}

// removeJob removes a job that leaves the state.
func (x *MachineIndex) removeJob(j *Job) {
	delete(x.jobs, j)
	for m := range x.machinesOf(j) {
		x.jobsOf[m] = slices.DeleteFunc(x.jobsOf[m], func(o *Job) bool { return o == j })
		if len(x.jobsOf[m]) == 0 {
			delete(x.jobsOf, m)
		}
	}
}

// Mark adds a machine to the set of a job: it may hold tasks of the job.
func (x *MachineIndex) Mark(j *Job, machine string) {
	if machines := x.machinesOf(j); !machines[machine] {
		machines[machine] = true
		x.add(j, machine)
	}
}

// Resolve removes a machine from the sets of all jobs, because it is known which tasks it holds. It
// returns the jobs whose set is empty since.
func (x *MachineIndex) Resolve(machine string) (resolved []*Job) {
	for _, j := range x.jobsOf[machine] {
		machines := x.machinesOf(j)
		if delete(machines, machine); len(machines) == 0 {
			delete(x.jobs, j)
			resolved = append(resolved, j)
		}
	}
	delete(x.jobsOf, machine)
	return resolved
}

// JobCount returns the number of jobs that may have tasks on machines in the index.
func (x *MachineIndex) JobCount() int { return len(x.jobs) }

// Contains reports whether the machine is in the index.
func (x *MachineIndex) Contains(machine string) bool { return len(x.jobsOf[machine]) > 0 }

// JobsOn returns the jobs that may have tasks on the machine. The index owns the list, which is valid
// until the index changes.
func (x *MachineIndex) JobsOn(machine string) []*Job { return x.jobsOf[machine] }

// holdsCancelled reports whether the machine may hold tasks of a cancelled job.
func (x *MachineIndex) holdsCancelled(machine string) bool {
	return slices.ContainsFunc(x.jobsOf[machine], func(j *Job) bool { return j.Cancelled })
}

// Len returns the number of machines in the index.
func (x *MachineIndex) Len() int { return len(x.jobsOf) }

// Machines returns the sorted IDs of the machines in the index.
func (x *MachineIndex) Machines() []string { return slices.Sorted(maps.Keys(x.jobsOf)) }

// Jobs returns the jobs that may have tasks on machines in the index, in no order.
func (x *MachineIndex) Jobs() iter.Seq[*Job] { return maps.Keys(x.jobs) }
