package cluster

import (
	"slices"
	"sort"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// WriteBatch is a group of records on their way to the state service, as one
// transaction. Its jobs are saved by nothing else until its outcome is known.
type WriteBatch struct {
	ID    string
	Txn   protocol.Txn
	parts []batchPart
	stale []staleRecord
}

// batchPart is what a save holds of a job.
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

// staleRecord is a record of a job that is over.
type staleRecord struct {
	bucket int
	key    string
}

// BatchLimits bounds a Save.
type BatchLimits struct {
	CoalesceFor units.Micros // changes that nobody waits for are gathered for so long
	Background  bool         // also write what nobody waits for
	// MaxChanges bounds the changes below what a transaction may hold, 0: it does not.
	MaxChanges int
}

// A transaction may hold 64 KiB as JSON, which is at most about half larger
// than CBOR.
const maxBatchBytes = 36 << 10

// BuildWriteBatch gathers what is to be written now, what somebody waits for first.
// bucketVersions are the versions of the buckets' heads, on which every save is
// conditional. It gives nil if there is nothing to write.
func (l *State) BuildWriteBatch(id string, bucketVersions []uint64, limits BatchLimits, now units.Micros) *WriteBatch {
	b := &batchBuilder{
		state:          l,
		batch:          &WriteBatch{ID: id},
		bucketVersions: bucketVersions,
		heads:          map[int]bool{},
		maxChanges:     l.maxChanges(),
	}
	if limits.MaxChanges > 0 {
		b.maxChanges = min(b.maxChanges, limits.MaxChanges)
	}
	for _, j := range l.dueJobs(limits, now) {
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

// dueJobs lists the jobs with changes to be written now, in the order in which they go.
func (l *State) dueJobs(limits BatchLimits, now units.Micros) []*Job {
	var due []*Job
	for _, j := range l.Jobs {
		if j.changed && !j.writeInFlight && (j.urgent || limits.Background && now-j.changedSince >= limits.CoalesceFor) {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(i, k int) bool { return due[i].writtenBefore(due[k]) })
	return due
}

// writtenBefore tells whether one job that is due goes before another.
func (j *Job) writtenBefore(other *Job) bool {
	if j.urgent != other.urgent {
		return j.urgent
	}
	// A user waits for a job's acceptance or cancellation. When a term begins
	// in a large fleet, the names of machines alone can fill the rate of
	// writes for seconds.
	if j.userAwaitsWrite() != other.userAwaitsWrite() {
		return j.userAwaitsWrite()
	}
	if a, b := j.writeOrder(), other.writeOrder(); a != b {
		return a < b
	}
	return j.Spec.ID < other.Spec.ID
}

// priorityHeadStart is by how much the changes of urgent jobs go before others: when
// hundreds of small jobs come at once, the names of their machines alone fill the rate
// of writes for half a minute, and the tasks of an urgent job would begin after them.
// It is bounded so that nothing waits for ever behind a stream of urgent jobs.
const priorityHeadStart = 60 * units.Second

// writeOrder is the time since which the job's changes count as due among others.
func (j *Job) writeOrder() units.Micros {
	if j.Spec.Priority >= protocol.High {
		return j.changedSince - priorityHeadStart
	}
	return j.changedSince
}

// batchBuilder fills a save up to the limits of a transaction.
type batchBuilder struct {
	state          *State
	batch          *WriteBatch
	bucketVersions []uint64
	heads          map[int]bool // buckets whose heads are among the conditions
	accepts        bool         // it accepts a job, on the ledger's Acceptance
	maxChanges     int          // changes that a transaction may hold
	bytes          int          // used up
}

// addJob adds what there is to write of a job, as far as there is room, and tells
// whether there may be room for another one.
func (b *batchBuilder) addJob(j *Job) bool {
	first := len(b.batch.parts) == 0
	if !first && (j.writeAlone || b.batch.parts[0].job.writeAlone) {
		return true
	}
	part, all := b.state.collectWrites(j, b.batch.ID)
	if b.state.tooLarge(j, all) {
		return true // until it may be divided
	}
	if len(all) == 0 {
		j.nothingToWrite()
		return true
	}
	n, bytes := cut(all, b.maxChanges-len(b.batch.Txn.Then), maxBatchBytes-b.bytes, first)
	if n < len(all) && !first {
		return false
	}
	b.bytes += bytes
	part.writes, part.whole = all[:n], n == len(all)
	b.addConditions(&part)
	for _, w := range part.writes {
		b.batch.Txn.Then = append(b.batch.Txn.Then, w.change)
	}
	j.beginWrite(&part)
	b.batch.parts = append(b.batch.parts, part)
	return true
}

// isNew tells whether the job's next save accepts it. One from the inbox was accepted there.
func (j *Job) isNew() bool { return !j.stored && !j.inPendingQueue }

// addConditions adds what a job's writes are conditional on: its bucket is still this
// leader's, the job is not over, and each record is as this leader knows it.
func (b *batchBuilder) addConditions(part *batchPart) {
	j := part.job
	b.addHead(storage.BucketOf(j.Spec.ID))
	if j.isNew() && !b.accepts && b.state.AcceptCondition != nil {
		b.accepts = true
		b.batch.Txn.If = append(b.batch.Txn.If, *b.state.AcceptCondition)
	}
	if !j.stored || part.terminal != nil {
		b.addCondition(storage.KeyTerminal(j.Spec.ID), 0)
	}
	if part.terminal != nil {
		b.addCondition(j.main.key, j.main.version)
	}
	for _, w := range part.writes {
		if w.shard != nil {
			b.addCondition(w.shard.key, w.shard.version)
		}
	}
}

func (b *batchBuilder) addCondition(key string, version uint64) {
	b.batch.Txn.If = append(b.batch.Txn.If, protocol.Condition{Key: key, Version: version})
}

func (b *batchBuilder) addHead(bucket int) {
	if b.heads[bucket] {
		return
	}
	b.heads[bucket] = true
	b.addCondition(storage.KeyBucketHead(bucket), b.bucketVersions[bucket])
}

// addStaleRecords deletes what is left of jobs that are over, as far as there is room.
func (b *batchBuilder) addStaleRecords() {
	l, s := b.state, b.batch
	for len(s.Txn.Then) < b.maxChanges && len(l.staleRecords) > 0 {
		left := l.staleRecords[0]
		l.staleRecords = l.staleRecords[1:]
		b.addHead(left.bucket)
		s.Txn.Then = append(s.Txn.Then, protocol.Change{Delete: left.key})
		s.stale = append(s.stale, left)
	}
}

// tooLarge tells whether a job has a record in the old form that the state
// service does not take any more, while it must not be divided yet.
func (l *State) tooLarge(j *Job, all []write) bool {
	if !l.nextLimitsApplied || !l.oldLeadersPossible() {
		return false
	}
	return slices.ContainsFunc(all, func(w write) bool {
		size := len(w.change.Value)
		if w.shard == j.main {
			size = storage.JSONSize(j.record(longestWriteID, w.machines))
		}
		return size > l.limits.Both().ValueBytes()
	})
}

// cut gives how many of a job's writes go into a transaction, and their size.
// What must go together does, even where nothing else is in the transaction and
// it is over its limit: the state service then tells.
func cut(all []write, ops, bytes int, first bool) (n, size int) {
	for i := 0; i < len(all); {
		k, add := i, 0
		for {
			add += len(all[k].change.Value) + 64
			if k++; k == len(all) || !all[k].withPrevious {
				break
			}
		}
		if (k > ops || size+add > bytes) && !(first && i == 0) {
			break
		}
		i, n, size = k, k, size+add
	}
	return n, size
}

// ProbeKey is a key whose record tells, by the save's id, whether the save was
// carried out; "" if it only deletes, which may as well be done again.
func (s *WriteBatch) ProbeKey() string {
	for _, c := range s.Txn.Then {
		if c.Set != "" {
			return c.Set
		}
	}
	return ""
}

// JobIDs lists the ids of the jobs in the save.
func (s *WriteBatch) JobIDs() []string {
	ids := make([]string, len(s.parts))
	for i, p := range s.parts {
		ids[i] = p.job.Spec.ID
	}
	return ids
}
