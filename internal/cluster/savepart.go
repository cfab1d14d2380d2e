package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// end gives the final record of a job that is over: complete, or cancelled
// and with nothing left on any machine.
func (j *Job) end(id string) *storage.Final {
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && len(j.Live) == 0 && len(j.Unconfirmed) == 0:
		return &storage.Final{Stage: protocol.StageCancelled, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	case !j.Cancelled && j.Complete():
		return &storage.Final{Stage: protocol.StageDone, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	}
	return nil
}

// userWaits tells whether a user is answered only after the job's next save.
func (j *Job) userWaits() bool { return !j.stored || j.Cancelled && !j.CancelStored }

// part gives all that is to be written of a job, in an order in which it is safe
// to stop anywhere.
func (l *Ledger) part(j *Job, id string) (savePart, []write) {
	part := savePart{job: j, cancel: j.Cancelled, final: j.end(id)}
	w := &jobWrites{job: j, saveID: id}
	if part.final != nil {
		w.end(part.final)
		if l.oldLeaders() && j.format == storage.FormatOld {
			w.removeOldPages()
		}
		return part, w.writes
	}
	if !l.oldLeaders() && j.format == storage.FormatOld {
		j.migrate(l.rooms)
	}
	j.markMainDirty()
	if !j.migrating {
		w.main()
	}
	w.names()
	w.pages()
	if j.migrating {
		w.main()
	}
	for _, key := range j.obsolete {
		w.remove(key, false)
	}
	if j.stored && j.arrived && !j.main.dirty {
		w.remove(storage.KeyInbox(j.Spec.ID), false) // it was accepted in both places
	}
	return part, w.writes
}

// markMainDirty marks the job's own record where it must go along with other changes.
func (j *Job) markMainDirty() {
	j.main.dirty = j.main.dirty || j.Cancelled && !j.CancelStored
	if j.format != storage.FormatOld {
		return
	}
	for _, c := range j.oldPages { // a page in the old form does not tell whose save it was
		j.main.dirty = j.main.dirty || c.dirty
	}
}

// jobWrites gathers what a save writes of a job.
type jobWrites struct {
	job    *Job
	saveID string
	writes []write
}

// set writes a shard's record.
func (w *jobWrites) set(c *shard, machines []string, record any) {
	w.writes = append(w.writes, write{
		shard:    c,
		machines: machines,
		change:   protocol.Change{Set: c.key, Value: protocol.Encode(record)},
	})
}

// remove deletes a record; with: only together with the write before.
func (w *jobWrites) remove(key string, with bool) {
	w.writes = append(w.writes, write{change: protocol.Change{Delete: key}, with: with})
}

// takeFromInbox deletes the job's record in the inbox, if it is there.
func (w *jobWrites) takeFromInbox() {
	if w.job.arrived {
		w.remove(storage.KeyInbox(w.job.Spec.ID), true)
	}
}

// end writes the final record in place of the job's own.
func (w *jobWrites) end(f *storage.Final) {
	w.writes = append(w.writes, write{
		change: protocol.Change{Set: storage.KeyFinal(w.job.Spec.ID), Value: protocol.Encode(f)},
	})
	w.remove(w.job.main.key, true)
	w.takeFromInbox()
}

// removeOldPages deletes pages together with the job's own record: a reader of the old
// form refuses pages without their job.
func (w *jobWrites) removeOldPages() {
	for _, n := range slices.Sorted(maps.Keys(w.job.oldPages)) {
		if c := w.job.oldPages[n]; c.version != 0 {
			w.remove(c.key, true)
		}
	}
}

// main writes the job's own record, if it has changed.
func (w *jobWrites) main() {
	j := w.job
	if !j.main.dirty {
		return
	}
	machines := j.named(j.main)
	w.set(j.main, machines, j.record(w.saveID, machines))
	w.takeFromInbox()
}

// names writes the further names of machines that have changed.
func (w *jobWrites) names() {
	j := w.job
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		if c := j.parts[n]; c.dirty {
			machines := j.named(c)
			w.set(c, machines, names{storage.FormatNew, w.saveID, machines})
		}
	}
}

// pages writes the parts of the done set that have changed.
func (w *jobWrites) pages() {
	j := w.job
	pages, size, format, saveID := j.pages, pageTasks, storage.FormatNew, w.saveID
	if j.format == storage.FormatOld {
		pages, size, format, saveID = j.oldPages, oldPageTasks, 0, ""
	}
	for _, n := range slices.Sorted(maps.Keys(pages)) {
		if c := pages[n]; c.dirty {
			w.set(c, nil, page{Format: format, Save: saveID, Done: encodePage(j.done.page(n, size))})
		}
	}
}

// named lists the machines that a record is to name.
func (j *Job) named(c *shard) []string {
	var out []string
	for m := range c.machines {
		if j.inUse(m) {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

func sortedNames(machines map[string]bool) []string { return slices.Sorted(maps.Keys(machines)) }

// nothingToSave notes that a job has nothing to be written after all.
func (j *Job) nothingToSave() {
	j.changed, j.urgent = false, false
	for _, w := range append(j.waiting, j.saved) {
		close(w)
	}
	j.waiting, j.saved = nil, make(chan struct{})
}

// begin marks the job as being saved. Names that a record leaves out may not
// be used any more, whether or not the save is carried out.
func (j *Job) begin(part *savePart) {
	j.saving = true
	j.endInSave = part.final != nil || part.cancel && !j.CancelStored
	if part.whole {
		j.changed, j.urgent = false, false
	}
	for _, w := range part.writes {
		if w.shard == nil {
			continue
		}
		w.shard.dirty = false
		for _, m := range sortedNames(w.shard.machines) {
			if !j.inUse(m) {
				j.drop(m)
			}
		}
	}
	for i := range j.unsaved.all() {
		if !j.pageOf(i).dirty {
			j.inSave.add(i)
			j.unsaved.remove(i)
		}
	}
	if part.whole {
		// Waiters are taken when the save is built: what changes later waits for
		// the next one.
		part.waiters = append(j.waiting, j.saved)
		j.waiting, j.sending, j.saved = nil, j.saved, make(chan struct{})
	}
}
