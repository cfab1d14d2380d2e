package admission

import (
	"cmp"
	"maps"
	"slices"

	"dunestand/internal/units"
)

// waitingTimeout is how long after its last request a job counts as waiting. It is longer than
// any Decision.RetryAfter, so that a job does not expire between two retries.
const waitingTimeout = maxRetry + 7*units.Second

// maxWaiting bounds the number of jobs on a waiting list. Further jobs get the same decisions
// but do not count as demand.
const maxWaiting = 20_000

// WaitingJob is a job on the waiting list.
type WaitingJob struct {
	ID          string
	Flow        Flow
	Cost        Work
	Since       units.Micros // time of the first request
	lastRequest units.Micros // time of the last request
}

// WaitingDemand is the demand of the jobs on a waiting list, for a Measurement.
type WaitingDemand struct {
	Work  map[Flow]Work
	Large []WaitingJob // queue of large jobs, longest-waiting first
}

// WaitingList holds, on the leader, the submitted jobs that are not admitted yet. They are the
// unmet demand. The list is not stored: a new leader rebuilds it from the retries. It is not
// safe for concurrent use.
type WaitingList struct {
	jobs map[string]*WaitingJob
	work map[Flow]Work // work of all jobs, by flow
	// unrecorded holds the IDs of the jobs that were marked by MarkUnrecorded.
	unrecorded map[string]bool
}

// NewWaitingList returns an empty list.
func NewWaitingList() *WaitingList {
	return &WaitingList{jobs: map[string]*WaitingJob{}, work: map[Flow]Work{}, unrecorded: map[string]bool{}}
}

// Add adds a job that a decision did not admit, or updates it after a retry. New jobs beyond
// maxWaiting are ignored.
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
	job.Flow, job.Cost, job.lastRequest = d.Flow, d.Cost, now
	l.addWork(job, 1)
}

// addWork adds a job's work to that of its flow; sign is -1 to subtract it.
func (l *WaitingList) addWork(job *WaitingJob, sign Work) {
	l.work[job.Flow] += sign * job.Cost
	if l.work[job.Flow] == 0 {
		delete(l.work, job.Flow)
	}
}

// MarkUnrecorded marks a waiting job as one that no record in the key-value store names. After
// the mark only transactions of this leader can create a record of the job or a pending
// submission of it.
func (l *WaitingList) MarkUnrecorded(id string) {
	if l.jobs[id] != nil {
		l.unrecorded[id] = true
	}
}

// Unrecorded reports whether a waiting job is marked by MarkUnrecorded.
func (l *WaitingList) Unrecorded(id string) bool { return l.unrecorded[id] }

// Remove removes a job that was admitted or that has expired. It returns the time of the first
// request of the job, and whether the job was on the list.
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

// Expire removes the jobs without a request during the last waitingTimeout.
func (l *WaitingList) Expire(now units.Micros) {
	for id, job := range l.jobs {
		if now-job.lastRequest > waitingTimeout {
			l.Remove(id)
		}
	}
}

// Len returns the number of waiting jobs.
func (l *WaitingList) Len() int { return len(l.jobs) }

// Demand returns the demand of the waiting jobs. The result is a copy.
func (l *WaitingList) Demand() WaitingDemand {
	demand := WaitingDemand{Work: maps.Clone(l.work)}
	for _, job := range l.jobs {
		if job.Flow.Band == BandLarge {
			demand.Large = append(demand.Large, *job)
		}
	}
	slices.SortFunc(demand.Large, func(a, b WaitingJob) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	return demand
}
