package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// end gives the final record of a job that is over: complete, or cancelled
// and with nothing left on any machine.
func (j *Job) terminalRecord(id string) *storage.TerminalRecord {
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0:
		return &storage.TerminalRecord{Stage: protocol.StageCancelled, Tasks: j.Spec.Tasks, Done: j.doneCount, WriteID: id}
	case !j.Cancelled && j.Complete():
		return &storage.TerminalRecord{Stage: protocol.StageDone, Tasks: j.Spec.Tasks, Done: j.doneCount, WriteID: id}
	}
	return nil
}

// userAwaitsWrite tells whether a user is answered only after the job's next save.
func (j *Job) userAwaitsWrite() bool { return !j.stored || j.Cancelled && !j.CancelDurable }

// collectWrites gives all that is to be written of a job, in an order in which it is safe
// to stop anywhere.
func (l *State) collectWrites(j *Job, id string) (batchPart, []write) {
	part := batchPart{job: j, cancelled: j.Cancelled, terminal: j.terminalRecord(id)}
	w := &jobWrites{job: j, writeID: id}
	if part.terminal != nil {
		w.terminal(part.terminal)
		if l.oldLeadersPossible() && j.format == storage.FormatOld {
			w.removeOldPages()
		}
		return part, w.writes
	}
	if !l.oldLeadersPossible() && j.format == storage.FormatOld {
		j.migrate(l.nameSpace)
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
	if j.stored && j.inPendingQueue && !j.main.dirty {
		w.remove(storage.KeyPending(j.Spec.ID), false) // it was accepted in both places
	}
	return part, w.writes
}

// markMainDirty marks the job's own record where it must go along with other changes.
func (j *Job) markMainDirty() {
	j.main.dirty = j.main.dirty || j.Cancelled && !j.CancelDurable
	if j.format != storage.FormatOld {
		return
	}
	for _, c := range j.oldDonePages { // a page in the old form does not tell whose save it was
		j.main.dirty = j.main.dirty || c.dirty
	}
}

// jobWrites gathers what a save writes of a job.
type jobWrites struct {
	job     *Job
	writeID string
	writes  []write
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
	w.writes = append(w.writes, write{change: protocol.Change{Delete: key}, withPrevious: with})
}

// removePending deletes the job's record in the inbox, if it is there.
func (w *jobWrites) removePending() {
	if w.job.inPendingQueue {
		w.remove(storage.KeyPending(w.job.Spec.ID), true)
	}
}

// terminal writes the final record in place of the job's own.
func (w *jobWrites) terminal(f *storage.TerminalRecord) {
	w.writes = append(w.writes, write{
		change: protocol.Change{Set: storage.KeyTerminal(w.job.Spec.ID), Value: protocol.Encode(f)},
	})
	w.remove(w.job.main.key, true)
	w.removePending()
}

// removeOldPages deletes pages together with the job's own record: a reader of the old
// form refuses pages without their job.
func (w *jobWrites) removeOldPages() {
	for _, n := range slices.Sorted(maps.Keys(w.job.oldDonePages)) {
		if c := w.job.oldDonePages[n]; c.version != 0 {
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
	machines := j.machinesToRecord(j.main)
	w.set(j.main, machines, j.record(w.writeID, machines))
	w.removePending()
}

// names writes the further names of machines that have changed.
func (w *jobWrites) names() {
	j := w.job
	for _, n := range slices.Sorted(maps.Keys(j.nameParts)) {
		if c := j.nameParts[n]; c.dirty {
			machines := j.machinesToRecord(c)
			w.set(c, machines, machineNamesRecord{storage.FormatNew, w.writeID, machines})
		}
	}
}

// pages writes the parts of the done set that have changed.
func (w *jobWrites) pages() {
	j := w.job
	pages, size, format, saveID := j.donePages, pageTasks, storage.FormatNew, w.writeID
	if j.format == storage.FormatOld {
		pages, size, format, saveID = j.oldDonePages, oldPageTasks, 0, ""
	}
	for _, n := range slices.Sorted(maps.Keys(pages)) {
		if c := pages[n]; c.dirty {
			w.set(c, nil, donePageRecord{Format: format, WriteID: saveID, Done: encodePage(j.done.page(n, size))})
		}
	}
}

// machinesToRecord lists the machines that a record is to name.
func (j *Job) machinesToRecord(c *shard) []string {
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

// nothingToWrite notes that a job has nothing to be written after all.
func (j *Job) nothingToWrite() {
	j.changed, j.urgent = false, false
	for _, w := range append(j.refusedWaiters, j.durable) {
		close(w)
	}
	j.refusedWaiters, j.durable = nil, make(chan struct{})
}

// beginWrite marks the job as being saved. Names that a record leaves out may not
// be used any more, whether or not the save is carried out.
func (j *Job) beginWrite(part *batchPart) {
	j.writeInFlight = true
	j.endInFlight = part.terminal != nil || part.cancelled && !j.CancelDurable
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
				j.dropName(m)
			}
		}
	}
	for i := range j.doneUnwritten.all() {
		if !j.pageOf(i).dirty {
			j.doneInFlight.add(i)
			j.doneUnwritten.remove(i)
		}
	}
	if part.whole {
		// Waiters are taken when the save is built: what changes later waits for
		// the next one.
		part.waiters = append(j.refusedWaiters, j.durable)
		j.refusedWaiters, j.durableInFlight, j.durable = nil, j.durable, make(chan struct{})
	}
}
