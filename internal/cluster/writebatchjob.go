package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// collectWrites returns all that is to be written of a job, in an order in which it is safe
// to stop anywhere.
func collectWrites(j *Job, id string, rules *recordRules) (batchPart, []write) {
	part := batchPart{job: j, cancelled: j.Cancelled, terminal: j.terminalRecord(id)}
	w := &jobWrites{job: j, records: &j.records, writeID: id}
	if part.terminal != nil {
		w.terminal(part.terminal)
		if rules.oldLeadersPossible() && j.records.format == storage.FormatOld {
			w.removeOldPages()
		}
		return part, w.writes
	}
	w.live(rules)
	return part, w.writes
}

// jobWrites gathers what a batch writes of a job.
type jobWrites struct {
	job     *Job
	records *jobRecords
	writeID string
	writes  []write
}

// live writes the changed records of a job that has not ended.
func (w *jobWrites) live(rules *recordRules) {
	j, r := w.job, w.records
	if !rules.oldLeadersPossible() && r.format == storage.FormatOld {
		r.migrate(j.done.set, j.stored, rules.nameBudget)
	}
	r.main.dirty = r.main.dirty || j.Cancelled && !j.CancelDurable
	r.markMainDirty()
	if !r.migrating {
		w.main()
	}
	w.names()
	w.pages()
	if r.migrating {
		w.main()
	}
	for _, key := range r.obsolete {
		w.remove(key, false)
	}
	if j.stored && j.inPendingQueue && !r.main.dirty {
		w.remove(storage.KeyPending(j.Spec.ID), false) // it was accepted in both places
	}
}

// set writes a shard's record.
func (w *jobWrites) set(sh *shard, machines []string, record any) {
	w.writes = append(w.writes, write{
		shard:    sh,
		machines: machines,
		change:   protocol.Change{Set: sh.key, Value: protocol.Encode(record)},
	})
}

// remove deletes a record; withPrevious: only together with the write before.
func (w *jobWrites) remove(key string, withPrevious bool) {
	w.writes = append(w.writes, write{change: protocol.Change{Delete: key}, withPrevious: withPrevious})
}

// removePending deletes the job's pending submission, if there is one.
func (w *jobWrites) removePending() {
	if w.job.inPendingQueue {
		w.remove(storage.KeyPending(w.job.Spec.ID), true)
	}
}

// terminal writes the terminal record in place of the job's own.
func (w *jobWrites) terminal(record *storage.TerminalRecord) {
	w.writes = append(w.writes, write{
		change: protocol.Change{Set: storage.KeyTerminal(w.job.Spec.ID), Value: protocol.Encode(record)},
	})
	w.remove(w.records.main.key, true)
	w.removePending()
}

// removeOldPages deletes pages together with the job's own record: a reader of the old
// format refuses pages without their job.
func (w *jobWrites) removeOldPages() {
	for _, n := range slices.Sorted(maps.Keys(w.records.oldDonePages)) {
		if sh := w.records.oldDonePages[n]; sh.version != 0 {
			w.remove(sh.key, true)
		}
	}
}

// main writes the job's own record, if it has changed.
func (w *jobWrites) main() {
	sh := w.records.main
	if !sh.dirty {
		return
	}
	machines := w.records.namesToWrite(sh)
	w.set(sh, machines, w.job.record(w.writeID, machines))
	w.removePending()
}

// names writes the further names of machines that have changed.
func (w *jobWrites) names() {
	for _, n := range slices.Sorted(maps.Keys(w.records.nameParts)) {
		if sh := w.records.nameParts[n]; sh.dirty {
			machines := w.records.namesToWrite(sh)
			w.set(sh, machines, storage.MachineNamesRecord{Format: storage.FormatNew, WriteID: w.writeID, Machines: machines})
		}
	}
}

// pages writes the parts of the done set that have changed.
func (w *jobWrites) pages() {
	pages, size, format, writeID := w.records.donePages, storage.PageTasks, storage.FormatNew, w.writeID
	if w.records.format == storage.FormatOld {
		pages, size, format, writeID = w.records.oldDonePages, storage.OldPageTasks, 0, ""
	}
	for _, n := range slices.Sorted(maps.Keys(pages)) {
		if sh := pages[n]; sh.dirty {
			done := storage.EncodeDonePage(w.job.done.set.Page(n, size))
			w.set(sh, nil, storage.DonePageRecord{Format: format, WriteID: writeID, Done: done})
		}
	}
}

// begin marks the part's job as having a write in flight. Names that a record leaves out may
// not be used any more, whether or not the batch is carried out.
func (p *batchPart) begin() {
	j := p.job
	j.write.inFlight = true
	j.write.endInFlight = p.terminal != nil || p.cancelled && !j.CancelDurable
	if p.whole {
		j.write.due, j.write.urgent = false, false
	}
	for _, w := range p.writes {
		if w.shard != nil {
			w.shard.dirty = false
			j.records.dropUnused(w.shard)
		}
	}
	j.done.sent(&j.records)
	if p.whole {
		p.waiters = j.write.takeWaiters()
	}
}
