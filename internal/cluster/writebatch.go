package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// WriteBatch is a group of records on their way to the key-value store, as one
// transaction. Nothing else writes its jobs until its outcome is known.
type WriteBatch struct {
	ID    string // of this write, in all its records
	Txn   protocol.Txn
	parts []batchPart
	stale []staleRecord
}

// batchPart is what a batch holds of a job.
type batchPart struct {
	job       *Job
	terminal  *storage.TerminalRecord
	writes    []write
	whole     bool // all of the job that was to be written
	waiters   []chan struct{}
	cancelled bool
}

// write is one change in a job's records.
type write struct {
	change       protocol.Change
	shard        *shard   // nil: something is deleted
	machines     []string // that the record names
	withPrevious bool     // only together with the one before
}

// staleRecord is a record of a job that has ended.
type staleRecord struct {
	bucket int
	key    string
}

// ProbeKey returns a key whose record shows, by the batch's ID, whether the batch was
// carried out; "" if it only deletes, which may as well be done again.
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
	ids := make([]string, len(b.parts))
	for i, p := range b.parts {
		ids[i] = p.job.Spec.ID
	}
	return ids
}

// BatchLimits bounds a WriteBatch.
type BatchLimits struct {
	CoalesceFor units.Micros // changes that nobody waits for are gathered for so long
	Background  bool         // also write what nobody waits for
	// MaxChanges bounds the changes below what a transaction may hold, 0: it does not.
	MaxChanges int
}

// BuildWriteBatch gathers what is to be written now, what somebody waits for first.
// bucketVersions are the versions of the buckets' heads, on which every batch is
// conditional. It returns nil if there is nothing to write. Every batch must be passed to
// BatchCommitted, BatchConflicted or BatchRejected once its outcome is known.
func (s *State) BuildWriteBatch(id string, bucketVersions []uint64, limits BatchLimits, now units.Micros) *WriteBatch {
	b := &batchBuilder{
		state:          s,
		rules:          &s.rules,
		batch:          &WriteBatch{ID: id},
		bucketVersions: bucketVersions,
		heads:          map[int]bool{},
		maxChanges:     s.rules.maxChanges(),
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

// dueJobs returns the jobs with changes to be written now, in the order in which they go.
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

// compareDue orders jobs by when they are written.
func compareDue(a, b *Job) int {
	if a.write.urgent != b.write.urgent {
		return firstIf(a.write.urgent)
	}
	// A user waits for a job's acceptance or cancellation. After a failover
	// in a large fleet, the names of machines alone can fill the rate of
	// writes for seconds.
	if a.userAwaitsWrite() != b.userAwaitsWrite() {
		return firstIf(a.userAwaitsWrite())
	}
	return cmp.Or(cmp.Compare(writeOrder(a), writeOrder(b)), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// firstIf returns the order of two elements of which one goes first.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// priorityHeadStart is by how much the changes of urgent jobs go before others: when
// hundreds of small jobs come at once, the names of their machines alone fill the rate
// of writes for half a minute, and the tasks of an urgent job would begin after them.
// It is bounded so that nothing waits for ever behind a stream of urgent jobs.
const priorityHeadStart = 60 * units.Second

// writeOrder returns the time since which the job's changes count as due among others.
func writeOrder(j *Job) units.Micros {
	if j.Spec.Priority >= protocol.High {
		return j.write.since - priorityHeadStart
	}
	return j.write.since
}

// userAwaitsWrite reports whether a user is answered only after the job's next write.
func (j *Job) userAwaitsWrite() bool { return !j.stored || j.Cancelled && !j.CancelDurable }
