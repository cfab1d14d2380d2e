package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// BatchCommitted takes over that the save was carried out at a revision. It gives
// the jobs that are finished by it; they leave the ledger.
func (l *State) BatchCommitted(s *WriteBatch, revision uint64) map[string]storage.TerminalRecord {
	finished := map[string]storage.TerminalRecord{}
	for _, p := range s.parts {
		j := p.job
		j.writeInFlight, j.writeAlone, j.endInFlight = false, false, false
		clear(j.doneInFlight)
		for _, w := range p.writes {
			j.writeCommitted(w, revision)
		}
		if p.cancelled && !j.CancelDurable && j.main.version == revision {
			j.CancelDurable, j.cancelVersion = true, revision
		}
		if p.terminal != nil {
			finished[j.Spec.ID] = *p.terminal
			l.addStaleRecordsOf(j)
			l.removeJob(j)
		}
		for _, w := range p.waiters {
			close(w)
		}
	}
	return finished
}

// writeCommitted takes over that one of the job's changes was carried out.
func (j *Job) writeCommitted(w write, revision uint64) {
	switch {
	case w.shard == nil:
		key := w.change.Delete
		j.inPendingQueue = j.inPendingQueue && key != storage.KeyPending(j.Spec.ID)
		j.obsolete = slices.DeleteFunc(j.obsolete, func(o string) bool { return o == key })
		for n, c := range j.oldDonePages {
			if c.key == key {
				delete(j.oldDonePages, n)
			}
		}
		return
	case w.shard == j.main:
		j.stored, j.migrating = true, false
	}
	w.shard.version = revision
	for _, m := range w.machines {
		if _, named := w.shard.machines[m]; named {
			w.shard.machines[m] = true
		}
	}
}

// addStaleRecordsOf notes what is left of a job that is over.
func (l *State) addStaleRecordsOf(j *Job) {
	keys := j.obsolete
	for _, shards := range []map[int]*shard{j.nameParts, j.donePages, j.oldDonePages} {
		for _, n := range slices.Sorted(maps.Keys(shards)) {
			if c := shards[n]; c.version != 0 {
				keys = append(keys, c.key)
			}
		}
	}
	l.AddStaleRecords(j.Spec.ID, keys)
}

// AddStaleRecords notes records that are left over of a job that is over.
func (l *State) AddStaleRecords(job string, keys []string) {
	for _, key := range keys {
		l.staleRecords = append(l.staleRecords, staleRecord{storage.BucketOf(job), key})
	}
}

// BatchRefused takes over that the save was certainly not carried out and never
// will be: its changes are due again.
func (l *State) BatchRefused(s *WriteBatch, now units.Micros) {
	l.staleRecords = append(l.staleRecords, s.stale...)
	for _, p := range s.parts {
		j := p.job
		j.writeInFlight, j.endInFlight = false, false
		j.doneUnwritten.addAll(j.doneInFlight)
		clear(j.doneInFlight)
		for _, w := range p.writes {
			if w.shard != nil {
				w.shard.dirty = true
			}
		}
		j.MarkChanged(now, true)
		j.refusedWaiters = append(j.refusedWaiters, p.waiters...)
	}
}

// BatchRejected is Refused for a save that the state service will not take as it is.
// It is built anew, each job by itself: one must not hold up the rest.
func (l *State) BatchRejected(s *WriteBatch, now units.Micros) {
	l.BatchRefused(s, now)
	for _, p := range s.parts {
		p.job.writeAlone = true
	}
}

// UnacceptedJobs lists the jobs whose acceptance is not on its way: what admits them may be
// asked again.
func (l *State) UnacceptedJobs() []*Job {
	var out []*Job
	for _, j := range l.Jobs {
		if j.isNew() && !j.writeInFlight {
			out = append(out, j)
		}
	}
	return out
}

// DropUnaccepted removes a job that was never accepted: its id turned out to be that of a finished
// job, or it is not admitted after all.
func (l *State) DropUnaccepted(id string) {
	if j := l.Jobs[id]; j != nil && !j.stored {
		l.removeJob(j)
		for _, w := range append(j.refusedWaiters, j.durable) {
			close(w)
		}
	}
}

// WritePending tells whether the job's final record is on its way or due.
func (j *Job) WritePending() bool { return j.writeInFlight || j.changed }
