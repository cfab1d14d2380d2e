package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// WriteBatch is a transaction that writes records of several jobs to the key-value store. No
// other batch contains these jobs until its outcome is known.
type WriteBatch struct {
	ID      string // write ID that its records contain
	Txn     protocol.Txn
	entries []batchEntry
	stale   []staleRecord
}

// batchEntry is the content of a batch for one job.
type batchEntry struct {
	job       *Job
	terminal  *storage.TerminalRecord
	writes    []write
	complete  bool // it contains all due writes of the job
	waiters   []chan struct{}
	cancelled bool
}

// write is one change to a job's records.
type write struct {
	change       protocol.Change
	record       *recordState // nil for a deletion or a terminal record
	machines     []string     // machines that the record names
	withPrevious bool         // must be in the same transaction as the preceding write
}

// staleRecord is a stored record of a job that has ended.
type staleRecord struct {
	bucket int
	key    string
}

// ProbeKey returns the key of a record that contains the batch's ID if the batch was committed.
// It returns "" if the batch contains only deletions, which can safely be repeated.
func (b *WriteBatch) ProbeKey() string {
	for _, c := range b.Txn.Then {
		if c.Set != "" {
			return c.Set
		}
	}
	return ""
}

// JobIDs returns the IDs of the jobs in the batch.
func (b *WriteBatch) JobIDs() []string {
	ids := make([]string, len(b.entries))
	for i, entry := range b.entries {
		ids[i] = entry.job.Spec.ID
	}
	return ids
}

// BatchLimits bounds a WriteBatch.
type BatchLimits struct {
	CoalesceFor units.Micros // delay of changes that are not urgent, to coalesce them
	Background  bool         // also write changes that are not urgent, and delete stale records
	// MaxChanges bounds the changes in the batch, in addition to the limit of a transaction. 0
	// means no additional bound.
	MaxChanges int
}

// BuildWriteBatch builds a batch of the changes that are due, urgent ones first. It returns nil
// if nothing is due. id is the write ID. bucketVersions are the versions of the bucket heads,
// on which the batch is conditional. The caller must pass every batch to BatchCommitted,
// BatchConflicted or BatchRejected once its outcome is known.
func (s *State) BuildWriteBatch(id string, bucketVersions []uint64, limits BatchLimits, now units.Micros) *WriteBatch {
	b := &batchBuilder{
		state:                s,
		rules:                &s.rules,
		batch:                &WriteBatch{ID: id},
		bucketVersions:       bucketVersions,
		bucketsWithCondition: map[int]bool{},
		maxChanges:           s.rules.maxChanges(),
	}
	if limits.MaxChanges > 0 {
		b.maxChanges = min(b.maxChanges, limits.MaxChanges)
	}
	for _, j := range dueJobs(s.Jobs, limits, now) {
		if !b.addJob(j) {
			break
		}
	}
	if limits.Background {
		b.addStaleRecords()
	}
	if len(b.batch.Txn.Then) == 0 {
		return nil
	}
	return b.batch
}

// dueJobs returns the jobs with due changes in the order in which they are to be written.
func dueJobs(jobs map[string]*Job, limits BatchLimits, now units.Micros) []*Job {
	var due []*Job
	for _, j := range jobs {
		w := &j.write
		if w.due && !w.inFlight && (w.urgent || limits.Background && now-w.since >= limits.CoalesceFor) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareDue)
	return due
}

// compareDue compares two due jobs by the order in which they are to be written.
func compareDue(a, b *Job) int {
	if a.write.urgent != b.write.urgent {
		return firstIf(a.write.urgent)
	}
	// Acceptances and cancellations go first because users wait for them: after a failover in a
	// large fleet, writes of machine names alone can use up the write rate for seconds.
	if a.userAwaitsWrite() != b.userAwaitsWrite() {
		return firstIf(a.userAwaitsWrite())
	}
	return cmp.Or(cmp.Compare(effectiveDueTime(a), effectiveDueTime(b)), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// firstIf returns -1 if the first of two compared values goes first, and 1 if the second does.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// priorityHeadStart is how much earlier the changes of high-priority jobs count as due. When
// hundreds of small jobs are submitted at once, the names of their machines alone use up the
// write rate for half a minute, and the tasks of a high-priority job would start after them.
// The bound prevents a stream of high-priority jobs from starving the others.
const priorityHeadStart = 60 * units.Second

// effectiveDueTime returns the time from which the job's changes count as due when jobs are
// compared.
func effectiveDueTime(j *Job) units.Micros {
	if j.Spec.Priority >= protocol.High {
		return j.write.since - priorityHeadStart
	}
	return j.write.since
}

// userAwaitsWrite reports whether a request of a user is answered only after the job's next
// write: an acceptance or a cancellation.
func (j *Job) userAwaitsWrite() bool { return !j.stored || j.Cancelled && !j.CancelDurable }
