package admission

import (
	"cmp"
	"maps"
	"slices"

	"dunestand/internal/units"
)

// waitingTimeout is for how long a job that was told to come back counts as waiting. It is
// longer than any job is told to stay away.
const waitingTimeout = maxRetry + 7*units.Second

// maxWaiting bounds the jobs that a leader remembers as waiting. Those beyond it are
// answered like all others but do not count as demand.
const maxWaiting = 20_000

// WaitingJob is a job that was told to come back.
type WaitingJob struct {
	ID          string
	Cell        Cell
	Cost        Work
	Since       units.Micros // when it was told so first
	lastRequest units.Micros
}

// WaitingDemand is the demand of the jobs that wait.
type WaitingDemand struct {
	Work  map[Cell]Work
	Large []WaitingJob // the queue of large jobs, the longest waiting first
}

// WaitingList remembers on the leader which jobs were told to come back: they are demand
// that is not met. Nothing of it is stored; a later leader learns it anew as users come
// back. It is not safe for concurrent use.
type WaitingList struct {
	jobs map[string]*WaitingJob
	work map[Cell]Work // of all jobs
	// unrecorded holds the jobs of which there was no record when this leader looked.
	unrecorded map[string]bool
}

// NewWaitingList makes an empty list.
func NewWaitingList() *WaitingList {
	return &WaitingList{jobs: map[string]*WaitingJob{}, work: map[Cell]Work{}, unrecorded: map[string]bool{}}
}

// Add notes that a job was told to come back.
func (l *WaitingList) Add(id string, d Decision, now units.Micros) {
	job := l.jobs[id]
	switch {
	case job != nil:
		l.addWork(job, -1)
	case len(l.jobs) >= maxWaiting:
		return
	default:
		job = &WaitingJob{ID: id, Since: now}
		l.jobs[id] = job
	}
	job.Cell, job.Cost, job.lastRequest = d.Cell, d.Cost, now
	l.addWork(job, 1)
}

// addWork adds a job's work to its cell's, or takes it off.
func (l *WaitingList) addWork(job *WaitingJob, sign Work) {
	l.work[job.Cell] += sign * job.Cost
	if l.work[job.Cell] == 0 {
		delete(l.work, job.Cell)
	}
}

// SetUnknown notes that no record tells of a job that waits. Only this leader's own
// saves can change that, but for the inbox.
func (l *WaitingList) SetUnknown(id string) {
	if l.jobs[id] != nil {
		l.unrecorded[id] = true
	}
}

// IsUnknown tells whether SetUnknown was called for a job since it waits.
func (l *WaitingList) IsUnknown(id string) bool { return l.unrecorded[id] }

// Remove takes a job out: it was admitted, or did not come back. It gives since when it
// waited.
func (l *WaitingList) Remove(id string) (since units.Micros, waited bool) {
	job := l.jobs[id]
	if job == nil {
		return 0, false
	}
	l.addWork(job, -1)
	delete(l.jobs, id)
	delete(l.unrecorded, id)
	return job.Since, true
}

// Expire forgets the jobs that did not come back.
func (l *WaitingList) Expire(now units.Micros) {
	for id, job := range l.jobs {
		if now-job.lastRequest > waitingTimeout {
			l.Remove(id)
		}
	}
}

// Len is the number of jobs that wait.
func (l *WaitingList) Len() int { return len(l.jobs) }

// Demand gives the demand of the jobs that wait.
func (l *WaitingList) Demand() WaitingDemand {
	demand := WaitingDemand{Work: maps.Clone(l.work)}
	for _, job := range l.jobs {
		if job.Cell.Band == Large {
			demand.Large = append(demand.Large, *job)
		}
	}
	slices.SortFunc(demand.Large, func(a, b WaitingJob) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	return demand
}
