package cluster

import (
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

const (
	// maxBatchBytes bounds the size of a batch as CBOR. The key-value store limits a transaction
	// to 64 KiB as JSON. The JSON is up to about 1.5 times as large as the CBOR.
	maxBatchBytes = 36 << 10
	// changeOverhead is the estimated size of a change without its value, in bytes.
	changeOverhead = 64
)

// batchBuilder fills a batch up to the limits of a transaction.
type batchBuilder struct {
	state                *State
	rules                *recordRules
	batch                *WriteBatch
	bucketVersions       []uint64
	bucketsWithCondition map[int]bool // those whose heads are among the conditions
	acceptConditionAdded bool         // State.AcceptCondition is among the conditions
	maxChanges           int          // upper limit of the changes in the batch
	bytes                int          // size of the changes so far
}

// addJob adds the due writes of a job, as far as they fit. It returns false if the batch is
// full, so that no further job needs to be tried.
func (b *batchBuilder) addJob(j *Job) bool {
	first := len(b.batch.entries) == 0
	if !first && (j.write.alone || b.batch.entries[0].job.write.alone) {
		return true
	}
	entry, all := collectWrites(j, b.batch.ID, b.rules)
	if b.tooLarge(j, all) {
		return true // its write stays due until the record may be split
	}
	if len(all) == 0 {
		j.write.clearDue()
		return true
	}
	n, bytes := fittingWrites(all, b.maxChanges-len(b.batch.Txn.Then), maxBatchBytes-b.bytes, first)
	if n < len(all) && !first {
		return false
	}
	b.bytes += bytes
	entry.writes, entry.complete = all[:n], n == len(all)
	b.addConditions(&entry)
	for _, w := range entry.writes {
		b.batch.Txn.Then = append(b.batch.Txn.Then, w.change)
	}
	entry.markInFlight()
	b.batch.entries = append(b.batch.entries, entry)
	return true
}

// addConditions adds the conditions of a job's writes: its bucket still belongs to this leader,
// the job has not ended, and each record has the version that this leader knows.
func (b *batchBuilder) addConditions(entry *batchEntry) {
	j := entry.job
	b.addHeadCondition(storage.BucketOf(j.Spec.ID))
	if j.isNew() && !b.acceptConditionAdded && b.state.AcceptCondition != nil {
		b.acceptConditionAdded = true
		b.batch.Txn.If = append(b.batch.Txn.If, *b.state.AcceptCondition)
	}
	if !j.stored || entry.terminal != nil {
		b.addCondition(storage.KeyTerminal(j.Spec.ID), 0)
	}
	if entry.terminal != nil {
		b.addCondition(j.records.main.key, j.records.main.version)
	}
	for _, w := range entry.writes {
		if w.record != nil {
			b.addCondition(w.record.key, w.record.version)
		}
	}
}

func (b *batchBuilder) addCondition(key string, version uint64) {
	b.batch.Txn.If = append(b.batch.Txn.If, protocol.Condition{Key: key, Version: version})
}

func (b *batchBuilder) addHeadCondition(bucket int) {
	if b.bucketsWithCondition[bucket] {
		return
	}
	b.bucketsWithCondition[bucket] = true
	b.addCondition(storage.KeyBucketHead(bucket), b.bucketVersions[bucket])
}

// addStaleRecords adds deletions of stale records, as far as they fit.
func (b *batchBuilder) addStaleRecords() {
	for len(b.batch.Txn.Then) < b.maxChanges && len(b.state.staleRecords) > 0 {
		stale := b.state.staleRecords[0]
		b.state.staleRecords = b.state.staleRecords[1:]
		b.addHeadCondition(stale.bucket)
		b.batch.Txn.Then = append(b.batch.Txn.Then, protocol.Change{Delete: stale.key})
		b.batch.stale = append(b.batch.stale, stale)
	}
}

// tooLarge reports whether a job has a record in FormatV1 that exceeds the next limits of the
// key-value store and must not be split yet, because a leader that supports only FormatV1 may
// still read it.
func (b *batchBuilder) tooLarge(j *Job, all []write) bool {
	if !b.rules.nextLimitsApplied || !b.rules.v1LeadersPossible() {
		return false
	}
	return slices.ContainsFunc(all, func(w write) bool {
		size := len(w.change.Value)
		if w.record == j.records.main {
			size = storage.JSONSize(j.record(storage.LongestWriteID, w.machines))
		}
		return size > b.rules.limits.Lowest().ValueBytes()
	})
}

// fittingWrites returns the number and size of the leading writes of a job that fit into a
// transaction with space for the given changes and bytes. Writes with withPrevious stay together
// with their predecessors. If first is set, the transaction is empty and gets at least the
// first such group, even over the limit: the key-value store then rejects it.
func fittingWrites(all []write, changes, bytes int, first bool) (n, size int) {
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
