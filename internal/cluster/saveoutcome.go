package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Applied takes over that the save was carried out at a revision. It gives
// the jobs that are finished by it; they leave the ledger.
func (l *Ledger) Applied(s *Save, revision uint64) map[string]storage.Final {
	finished := map[string]storage.Final{}
	for _, p := range s.parts {
		j := p.job
		j.saving, j.alone, j.endInSave = false, false, false
		clear(j.inSave)
		for _, w := range p.writes {
			j.written(w, revision)
		}
		if p.cancel && !j.CancelStored && j.main.version == revision {
			j.CancelStored, j.cancelVersion = true, revision
		}
		if p.final != nil {
			finished[j.Spec.ID] = *p.final
			l.leave(j)
			l.remove(j)
		}
		for _, w := range p.waiters {
			close(w)
		}
	}
	return finished
}

// written takes over that one of the job's changes was carried out.
func (j *Job) written(w write, revision uint64) {
	switch {
	case w.shard == nil:
		key := w.change.Delete
		j.arrived = j.arrived && key != storage.KeyInbox(j.Spec.ID)
		j.obsolete = slices.DeleteFunc(j.obsolete, func(o string) bool { return o == key })
		for n, c := range j.oldPages {
			if c.key == key {
				delete(j.oldPages, n)
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

// leave notes what is left of a job that is over.
func (l *Ledger) leave(j *Job) {
	keys := j.obsolete
	for _, shards := range []map[int]*shard{j.parts, j.pages, j.oldPages} {
		for _, n := range slices.Sorted(maps.Keys(shards)) {
			if c := shards[n]; c.version != 0 {
				keys = append(keys, c.key)
			}
		}
	}
	l.Leave(j.Spec.ID, keys)
}

// Leave notes records that are left over of a job that is over.
func (l *Ledger) Leave(job string, keys []string) {
	for _, key := range keys {
		l.left = append(l.left, leftover{storage.BucketOf(job), key})
	}
}

// Refused takes over that the save was certainly not carried out and never
// will be: its changes are due again.
func (l *Ledger) Refused(s *Save, now units.Micros) {
	l.left = append(l.left, s.left...)
	for _, p := range s.parts {
		j := p.job
		j.saving, j.endInSave = false, false
		j.unsaved.addAll(j.inSave)
		clear(j.inSave)
		for _, w := range p.writes {
			if w.shard != nil {
				w.shard.dirty = true
			}
		}
		j.Changed(now, true)
		j.waiting = append(j.waiting, p.waiters...)
	}
}

// Rejected is Refused for a save that the state service will not take as it is.
// It is built anew, each job by itself: one must not hold up the rest.
func (l *Ledger) Rejected(s *Save, now units.Micros) {
	l.Refused(s, now)
	for _, p := range s.parts {
		p.job.alone = true
	}
}

// Undecided lists the jobs whose acceptance is not on its way: what admits them may be
// asked again.
func (l *Ledger) Undecided() []*Job {
	var out []*Job
	for _, j := range l.Jobs {
		if j.new() && !j.saving {
			out = append(out, j)
		}
	}
	return out
}

// Drop removes a job that was never accepted: its id turned out to be that of a finished
// job, or it is not admitted after all.
func (l *Ledger) Drop(id string) {
	if j := l.Jobs[id]; j != nil && !j.stored {
		l.remove(j)
		for _, w := range append(j.waiting, j.saved) {
			close(w)
		}
	}
}

// Ending tells whether the job's final record is on its way or due.
func (j *Job) Ending() bool { return j.saving || j.changed }
