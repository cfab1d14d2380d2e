package cluster

import (
	"iter"
	"maps"
	"slices"
)

func (l *Ledger) addUnconfirmed(j *Job, machine string) {
	l.unconfirmed[machine] = append(l.unconfirmed[machine], j)
	l.unconfirmedJobs[j] = true
}

// Confirm notes that what a machine holds is known.
func (l *Ledger) Confirm(id string) {
	for _, j := range l.unconfirmed[id] {
		delete(j.Unconfirmed, id)
		if len(j.Unconfirmed) == 0 {
			delete(l.unconfirmedJobs, j)
		}
	}
	delete(l.unconfirmed, id)
}

// MarkUnconfirmed notes that a machine may hold tasks of a job that nobody has told us of.
func (l *Ledger) MarkUnconfirmed(j *Job, machine string) {
	if !j.Unconfirmed[machine] {
		j.Unconfirmed[machine] = true
		l.addUnconfirmed(j, machine)
	}
}

// IsUnconfirmed tells whether a job may have tasks on the machine that nobody has
// told us of.
func (l *Ledger) IsUnconfirmed(id string) bool { return len(l.unconfirmed[id]) > 0 }

// HoldsCancelled tells whether a machine may hold tasks of a cancelled job.
func (l *Ledger) HoldsCancelled(id string) bool {
	if m := l.Machines[id]; m != nil {
		if m.HungCancelled {
			return true
		}
		for _, a := range m.Attempts {
			if a.Job.Cancelled {
				return true
			}
		}
	}
	return slices.ContainsFunc(l.unconfirmed[id], func(j *Job) bool { return j.Cancelled })
}

// UnconfirmedCount counts the machines that may hold tasks nobody has told us of.
func (l *Ledger) UnconfirmedCount() int { return len(l.unconfirmed) }

// UnconfirmedMachines names them, in order.
func (l *Ledger) UnconfirmedMachines() []string { return slices.Sorted(maps.Keys(l.unconfirmed)) }

// UnconfirmedJobs gives the jobs that may have tasks on such machines, in no order.
func (l *Ledger) UnconfirmedJobs() iter.Seq[*Job] { return maps.Keys(l.unconfirmedJobs) }

// UnconfirmedTasks is what the job may be using on machines nobody has told us of, at
// worst.
func (j *Job) UnconfirmedTasks() int {
	if len(j.Unconfirmed) == 0 {
		return 0
	}
	return j.Pending()
}
