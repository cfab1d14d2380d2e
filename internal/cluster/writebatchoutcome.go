package cluster

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// BatchCommitted notes that a batch was carried out at a revision. It returns the terminal
// records of the jobs that ended with it, by ID; these jobs leave the state.
func (s *State) BatchCommitted(batch *WriteBatch, revision uint64) map[string]storage.TerminalRecord {
	finished := map[string]storage.TerminalRecord{}
	for _, p := range batch.parts {
		j := p.job
		p.committed(revision)
		if p.terminal != nil {
			finished[j.Spec.ID] = *p.terminal
			s.AddStaleRecords(j.Spec.ID, j.records.furtherKeys())
			s.removeJob(j)
		}
		for _, w := range p.waiters {
			close(w)
		}
	}
	return finished
}

// committed notes that the part was carried out.
func (p *batchPart) committed(revision uint64) {
	j := p.job
	j.write.committed()
	j.done.committed()
	for _, w := range p.writes {
		if w.shard == nil {
			j.inPendingQueue = j.inPendingQueue && w.change.Delete != storage.KeyPending(j.Spec.ID)
			j.records.deleted(w.change.Delete)
			continue
		}
		if w.shard == j.records.main {
			j.stored, j.records.migrating = true, false
		}
		w.committed(revision)
	}
	if p.cancelled && !j.CancelDurable && j.records.main.version == revision {
		j.CancelDurable, j.cancelVersion = true, revision
	}
}

// committed notes that a record was written.
func (w *write) committed(revision uint64) {
	w.shard.version = revision
	for _, m := range w.machines {
		if _, named := w.shard.machines[m]; named {
			w.shard.machines[m] = true
		}
	}
}

// AddStaleRecords notes records that are left over of a job that has ended: they are deleted
// when nobody waits for writes.
func (s *State) AddStaleRecords(job string, keys []string) {
	for _, key := range keys {
		s.staleRecords = append(s.staleRecords, staleRecord{storage.BucketOf(job), key})
	}
}

// BatchConflicted notes that a batch was certainly not carried out and never
// will be: its changes are due again.
func (s *State) BatchConflicted(batch *WriteBatch, now units.Micros) {
	s.staleRecords = append(s.staleRecords, batch.stale...)
	for _, p := range batch.parts {
		j := p.job
		j.done.refused()
		for _, w := range p.writes {
			if w.shard != nil {
				w.shard.dirty = true
			}
		}
		j.write.refused(p.waiters, now)
	}
}

// BatchRejected is BatchConflicted for a batch that the key-value store will not accept as it is.
// It is built anew, each job by itself: one must not hold up the rest.
func (s *State) BatchRejected(batch *WriteBatch, now units.Micros) {
	s.BatchConflicted(batch, now)
	for _, p := range batch.parts {
		p.job.write.alone = true
	}
}
