package cluster

import (
	"iter"
	"maps"
	"slices"
)

func (l *State) addUnreconciled(j *Job, machine string) {
	l.unreconciled[machine] = append(l.unreconciled[machine], j)
	l.unreconciledJobs[j] = true
}

// MarkReconciled notes that what a machine holds is known.
func (l *State) MarkReconciled(id string) {
	for _, j := range l.unreconciled[id] {
		delete(j.UnreconciledMachines, id)
		if len(j.UnreconciledMachines) == 0 {
			delete(l.unreconciledJobs, j)
		}
	}
	delete(l.unreconciled, id)
}

// MarkUnreconciled notes that a machine may hold tasks of a job that nobody has told us of.
func (l *State) MarkUnreconciled(j *Job, machine string) {
	if !j.UnreconciledMachines[machine] {
		j.UnreconciledMachines[machine] = true
		l.addUnreconciled(j, machine)
	}
}

// IsUnreconciled tells whether a job may have tasks on the machine that nobody has
// told us of.
func (l *State) IsUnreconciled(id string) bool { return len(l.unreconciled[id]) > 0 }

// HoldsCancelled tells whether a machine may hold tasks of a cancelled job.
func (l *State) HoldsCancelled(id string) bool {
	if m := l.Machines[id]; m != nil {
		if m.MayHoldCancelled {
			return true
		}
		for _, a := range m.Attempts {
			if a.Job.Cancelled {
				return true
			}
		}
	}
	return slices.ContainsFunc(l.unreconciled[id], func(j *Job) bool { return j.Cancelled })
}

// UnreconciledCount counts the machines that may hold tasks nobody has told us of.
func (l *State) UnreconciledCount() int { return len(l.unreconciled) }

// UnreconciledMachines names them, in order.
func (l *State) UnreconciledMachines() []string { return slices.Sorted(maps.Keys(l.unreconciled)) }

// UnreconciledJobs gives the jobs that may have tasks on such machines, in no order.
func (l *State) UnreconciledJobs() iter.Seq[*Job] { return maps.Keys(l.unreconciledJobs) }

// UnreconciledTasks is what the job may be using on machines nobody has told us of, at
// worst.
func (j *Job) UnreconciledTasks() int {
	if len(j.UnreconciledMachines) == 0 {
		return 0
	}
	return j.Pending()
}
