package cluster

import (
	"iter"
	"maps"
	"slices"
)

func (s *State) addUnreconciled(j *Job, machine string) {
	s.unreconciled[machine] = append(s.unreconciled[machine], j)
	s.unreconciledJobs[j] = true
}

// MarkReconciled notes that what a machine holds is known.
func (s *State) MarkReconciled(id string) {
	for _, j := range s.unreconciled[id] {
		delete(j.UnreconciledMachines, id)
		if len(j.UnreconciledMachines) == 0 {
			delete(s.unreconciledJobs, j)
		}
	}
	delete(s.unreconciled, id)
}

// MarkUnreconciled notes that a machine may hold tasks of a job that nobody has told us of.
func (s *State) MarkUnreconciled(j *Job, machine string) {
	if !j.UnreconciledMachines[machine] {
		j.UnreconciledMachines[machine] = true
		s.addUnreconciled(j, machine)
	}
}

// IsUnreconciled tells whether a job may have tasks on the machine that nobody has
// told us of.
func (s *State) IsUnreconciled(id string) bool { return len(s.unreconciled[id]) > 0 }

// HoldsCancelled tells whether a machine may hold tasks of a cancelled job.
func (s *State) HoldsCancelled(id string) bool {
	if m := s.Machines[id]; m != nil {
		if m.MayHoldCancelled {
			return true
		}
		for _, a := range m.Attempts {
			if a.Job.Cancelled {
				return true
			}
		}
	}
	return slices.ContainsFunc(s.unreconciled[id], func(j *Job) bool { return j.Cancelled })
}

// UnreconciledCount counts the machines that may hold tasks nobody has told us of.
func (s *State) UnreconciledCount() int { return len(s.unreconciled) }

// UnreconciledMachines names them, in order.
func (s *State) UnreconciledMachines() []string { return slices.Sorted(maps.Keys(s.unreconciled)) }

// UnreconciledJobs gives the jobs that may have tasks on such machines, in no order.
func (s *State) UnreconciledJobs() iter.Seq[*Job] { return maps.Keys(s.unreconciledJobs) }

// UnreconciledTasks is what the job may be using on machines nobody has told us of, at
// worst.
func (j *Job) UnreconciledTasks() int {
	if len(j.UnreconciledMachines) == 0 {
		return 0
	}
	return j.Pending()
}
