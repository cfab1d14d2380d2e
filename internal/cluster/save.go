package cluster

import (
	"slices"
	"sort"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Save is a group of records on their way to the state service, as one
// transaction. Its jobs are saved by nothing else until its outcome is known.
type Save struct {
	ID    string
	Txn   protocol.Txn
	parts []savePart
	left  []leftover
}

// savePart is what a save holds of a job.
type savePart struct {
	job     *Job
	final   *storage.Final
	writes  []write
	whole   bool // all of the job that was to be written
	waiters []chan struct{}
	cancel  bool
}

// write is one change in a job's records.
type write struct {
	change   protocol.Change
	shard    *shard   // nil: something is deleted
	machines []string // that the record names
	with     bool     // only together with the one before
}

// leftover is a record of a job that is over.
type leftover struct {
	bucket int
	key    string
}

// SaveLimits bounds a Save.
type SaveLimits struct {
	Lazy  units.Micros // changes that nobody waits for are gathered for so long
	Tasks bool         // also write what nobody waits for
	// Changes bounds the changes below what a transaction may hold, 0: it does not.
	Changes int
}

// A transaction may hold 64 KiB as JSON, which is at most about half larger
// than CBOR.
const maxSaveBytes = 36 << 10

// BuildSave gathers what is to be written now, what somebody waits for first.
// bucketVersions are the versions of the buckets' heads, on which every save is
// conditional. It gives nil if there is nothing to write.
func (l *Ledger) BuildSave(id string, bucketVersions []uint64, limits SaveLimits, now units.Micros) *Save {
	b := &saveBuilder{
		ledger:         l,
		save:           &Save{ID: id},
		bucketVersions: bucketVersions,
		heads:          map[int]bool{},
		ops:            l.ops(),
	}
	if limits.Changes > 0 {
		b.ops = min(b.ops, limits.Changes)
	}
	for _, j := range l.due(limits, now) {
		if !b.addJob(j) {
			break
		}
	}
	if limits.Tasks {
		b.addLeftovers()
	}
	if len(b.save.Txn.Then) == 0 {
		return nil
	}
	return b.save
}

// due lists the jobs with changes to be written now, in the order in which they go.
func (l *Ledger) due(limits SaveLimits, now units.Micros) []*Job {
	var due []*Job
	for _, j := range l.Jobs {
		if j.changed && !j.saving && (j.urgent || limits.Tasks && now-j.changedSince >= limits.Lazy) {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(i, k int) bool { return due[i].savedBefore(due[k]) })
	return due
}

// savedBefore tells whether one job that is due goes before another.
func (j *Job) savedBefore(other *Job) bool {
	if j.urgent != other.urgent {
		return j.urgent
	}
	// A user waits for a job's acceptance or cancellation. When a term begins
	// in a large fleet, the names of machines alone can fill the rate of
	// writes for seconds.
	if j.userWaits() != other.userWaits() {
		return j.userWaits()
	}
	if a, b := j.saveOrder(), other.saveOrder(); a != b {
		return a < b
	}
	return j.Spec.ID < other.Spec.ID
}

// priorityHeadStart is by how much the changes of urgent jobs go before others: when
// hundreds of small jobs come at once, the names of their machines alone fill the rate
// of writes for half a minute, and the tasks of an urgent job would begin after them.
// It is bounded so that nothing waits for ever behind a stream of urgent jobs.
const priorityHeadStart = 60 * units.Second

// saveOrder is the time since which the job's changes count as due among others.
func (j *Job) saveOrder() units.Micros {
	if j.Spec.Priority >= protocol.High {
		return j.changedSince - priorityHeadStart
	}
	return j.changedSince
}

// saveBuilder fills a save up to the limits of a transaction.
type saveBuilder struct {
	ledger         *Ledger
	save           *Save
	bucketVersions []uint64
	heads          map[int]bool // buckets whose heads are among the conditions
	accepts        bool         // it accepts a job, on the ledger's Acceptance
	ops            int          // changes that a transaction may hold
	bytes          int          // used up
}

// addJob adds what there is to write of a job, as far as there is room, and tells
// whether there may be room for another one.
func (b *saveBuilder) addJob(j *Job) bool {
	first := len(b.save.parts) == 0
	if !first && (j.alone || b.save.parts[0].job.alone) {
		return true
	}
	part, all := b.ledger.part(j, b.save.ID)
	if b.ledger.tooLarge(j, all) {
		return true // until it may be divided
	}
	if len(all) == 0 {
		j.nothingToSave()
		return true
	}
	n, bytes := cut(all, b.ops-len(b.save.Txn.Then), maxSaveBytes-b.bytes, first)
	if n < len(all) && !first {
		return false
	}
	b.bytes += bytes
	part.writes, part.whole = all[:n], n == len(all)
	b.addConditions(&part)
	for _, w := range part.writes {
		b.save.Txn.Then = append(b.save.Txn.Then, w.change)
	}
	j.begin(&part)
	b.save.parts = append(b.save.parts, part)
	return true
}

// new tells whether the job's next save accepts it. One from the inbox was accepted there.
func (j *Job) new() bool { return !j.stored && !j.arrived }

// addConditions adds what a job's writes are conditional on: its bucket is still this
// leader's, the job is not over, and each record is as this leader knows it.
func (b *saveBuilder) addConditions(part *savePart) {
	j := part.job
	b.addHead(storage.BucketOf(j.Spec.ID))
	if j.new() && !b.accepts && b.ledger.Acceptance != nil {
		b.accepts = true
		b.save.Txn.If = append(b.save.Txn.If, *b.ledger.Acceptance)
	}
	if !j.stored || part.final != nil {
		b.addCondition(storage.KeyFinal(j.Spec.ID), 0)
	}
	if part.final != nil {
		b.addCondition(j.main.key, j.main.version)
	}
	for _, w := range part.writes {
		if w.shard != nil {
			b.addCondition(w.shard.key, w.shard.version)
		}
	}
}

func (b *saveBuilder) addCondition(key string, version uint64) {
	b.save.Txn.If = append(b.save.Txn.If, protocol.Condition{Key: key, Version: version})
}

func (b *saveBuilder) addHead(bucket int) {
	if b.heads[bucket] {
		return
	}
	b.heads[bucket] = true
	b.addCondition(storage.KeyHead(bucket), b.bucketVersions[bucket])
}

// addLeftovers deletes what is left of jobs that are over, as far as there is room.
func (b *saveBuilder) addLeftovers() {
	l, s := b.ledger, b.save
	for len(s.Txn.Then) < b.ops && len(l.left) > 0 {
		left := l.left[0]
		l.left = l.left[1:]
		b.addHead(left.bucket)
		s.Txn.Then = append(s.Txn.Then, protocol.Change{Delete: left.key})
		s.left = append(s.left, left)
	}
}

// tooLarge tells whether a job has a record in the old form that the state
// service does not take any more, while it must not be divided yet.
func (l *Ledger) tooLarge(j *Job, all []write) bool {
	if !l.tight || !l.oldLeaders() {
		return false
	}
	return slices.ContainsFunc(all, func(w write) bool {
		size := len(w.change.Value)
		if w.shard == j.main {
			size = storage.JSONSize(j.record(longestSave, w.machines))
		}
		return size > l.state.Both().ValueBytes()
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
			if k++; k == len(all) || !all[k].with {
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

// Probe is a key whose record tells, by the save's id, whether the save was
// carried out; "" if it only deletes, which may as well be done again.
func (s *Save) Probe() string {
	for _, c := range s.Txn.Then {
		if c.Set != "" {
			return c.Set
		}
	}
	return ""
}

// Jobs lists the ids of the jobs in the save.
func (s *Save) Jobs() []string {
	ids := make([]string, len(s.parts))
	for i, p := range s.parts {
		ids[i] = p.job.Spec.ID
	}
	return ids
}
