package cluster

import (
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

const (
	// maxBatchBytes bounds a batch. A transaction may hold 64 KiB as JSON, which is at most
	// about half larger than CBOR.
	maxBatchBytes = 36 << 10
	// changeOverhead is what a change takes beside its value, in bytes.
	changeOverhead = 64
)

// batchBuilder fills a batch up to the limits of a transaction.
type batchBuilder struct {
	state          *State
	rules          *recordRules
	batch          *WriteBatch
	bucketVersions []uint64
	heads          map[int]bool // buckets whose heads are among the conditions
	accepts        bool         // it accepts a job, on State.AcceptCondition
	maxChanges     int          // changes that a transaction may hold
	bytes          int          // used up
}

// addJob adds what there is to write of a job, as far as there is space, and reports
// whether there may be space for another one.
func (b *batchBuilder) addJob(j *Job) bool {
	first := len(b.batch.parts) == 0
	if !first && (j.write.alone || b.batch.parts[0].job.write.alone) {
		return true
	}
	part, all := collectWrites(j, b.batch.ID, b.rules)
	if b.tooLarge(j, all) {
		return true // until it may be divided
	}
	if len(all) == 0 {
		j.write.nothingDue()
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
	part.begin()
	b.batch.parts = append(b.batch.parts, part)
	return true
}

// addConditions adds what a job's writes are conditional on: its bucket is still this
// leader's, the job has not ended, and each record is as this leader knows it.
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
		b.addCondition(j.records.main.key, j.records.main.version)
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

// addStaleRecords deletes what is left of jobs that have ended, as far as there is space.
func (b *batchBuilder) addStaleRecords() {
	for len(b.batch.Txn.Then) < b.maxChanges && len(b.state.staleRecords) > 0 {
		stale := b.state.staleRecords[0]
		b.state.staleRecords = b.state.staleRecords[1:]
		b.addHead(stale.bucket)
		b.batch.Txn.Then = append(b.batch.Txn.Then, protocol.Change{Delete: stale.key})
		b.batch.stale = append(b.batch.stale, stale)
	}
}

// tooLarge reports whether a job has a record in the old format that the key-value
// store does not accept any more, while it must not be divided yet.
func (b *batchBuilder) tooLarge(j *Job, all []write) bool {
	if !b.rules.nextLimitsApplied || !b.rules.oldLeadersPossible() {
		return false
	}
	return slices.ContainsFunc(all, func(w write) bool {
		size := len(w.change.Value)
		if w.shard == j.records.main {
			size = storage.JSONSize(j.record(storage.LongestWriteID, w.machines))
		}
		return size > b.rules.limits.Lowest().ValueBytes()
	})
}

// cut returns how many of a job's writes go into a transaction that has space for so many
// changes and bytes, and their size. What must go together does, even where nothing else is
// in the transaction and it is over its limit: the key-value store then rejects it.
func cut(all []write, changes, bytes int, first bool) (n, size int) {
	for i := 0; i < len(all); {
		k, add := i, 0
		for {
			add += len(all[k].change.Value) + changeOverhead
			if k++; k == len(all) || !all[k].withPrevious {
				break
			}
		}
		if (k > changes || size+add > bytes) && !(first && i == 0) {
			break
		}
		i, n, size = k, k, size+add
	}
	return n, size
}
