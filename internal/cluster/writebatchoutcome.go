package cluster

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// BatchCommitted records that a batch was committed at a revision. It removes the jobs whose
// terminal records the batch contains from the state, and returns these records by job ID.
func (s *State) BatchCommitted(batch *WriteBatch, revision uint64) map[string]storage.TerminalRecord {
	finished := map[string]storage.TerminalRecord{}
	for _, entry := range batch.entries {
		j := entry.job
		entry.committed(revision)
		if entry.terminal != nil {
			finished[j.Spec.ID] = *entry.terminal
			s.AddStaleRecords(j.Spec.ID, j.records.storedPartKeys())
			s.removeJob(j)
		}
		for _, w := range entry.waiters {
			close(w)
		}
	}
	return finished
}

// committed updates the entry's job after the batch was committed at a revision.
func (entry *batchEntry) committed(revision uint64) {
	j := entry.job
	j.write.committed()
	j.done.committed()
	for _, w := range entry.writes {
		if w.record == nil {
			j.inPendingQueue = j.inPendingQueue && w.change.Delete != storage.KeyPending(j.Spec.ID)
			j.records.recordDeleted(w.change.Delete)
			continue
		}
		if w.record == j.records.main {
			j.stored, j.records.migrating = true, false
		}
		w.committed(revision)
	}
	if entry.cancelled && !j.CancelDurable && j.records.main.version == revision {
		j.CancelDurable, j.cancelVersion = true, revision
	}
}

// committed updates the version of the written record and marks its machine names as durable.
func (w *write) committed(revision uint64) {
	w.record.version = revision
	for _, m := range w.machines {
		if _, named := w.record.machines[m]; named {
			w.record.machines[m] = true
		}
	}
}

// AddStaleRecords schedules the remaining records of a job that has ended for deletion by a
// background write.
func (s *State) AddStaleRecords(job string, keys []string) {
	for _, key := range keys {
		s.staleRecords = append(s.staleRecords, staleRecord{storage.BucketOf(job), key})
	}
}

// BatchConflicted records that a batch was not committed and never will be. Its changes become
// due again.
func (s *State) BatchConflicted(batch *WriteBatch, now units.Micros) {
	s.staleRecords = append(s.staleRecords, batch.stale...)
	for _, entry := range batch.entries {
		j := entry.job
		j.done.aborted()
		for _, w := range entry.writes {
			if w.record != nil {
				w.record.dirty = true
			}
		}
		j.write.aborted(entry.waiters, now)
	}
}

// BatchRejected is BatchConflicted for a batch that the key-value store will never accept in
// this form. Each of its jobs is then written in a batch of its own, so that one invalid record
// does not block the other jobs.
func (s *State) BatchRejected(batch *WriteBatch, now units.Micros) {
	s.BatchConflicted(batch, now)
	for _, entry := range batch.entries {
		entry.job.write.alone = true
	}
}
