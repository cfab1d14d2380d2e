package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// collectWrites returns all due writes of a job. Any number of them from the start can safely be
// committed without the others, except that a write with withPrevious must not be separated from
// the preceding one.
func collectWrites(j *Job, id string, rules *recordRules) (batchEntry, []write) {
	entry := batchEntry{job: j, cancelled: j.Cancelled, terminal: j.terminalRecord(id)}
	w := &jobWrites{job: j, records: &j.records, writeID: id}
	if entry.terminal != nil {
		w.addTerminalRecord(entry.terminal)
		if rules.v1LeadersPossible() && j.records.format == storage.FormatV1 {
			w.deleteV1Pages()
		}
		return entry, w.writes
	}
	w.addLiveRecords(rules)
	return entry, w.writes
}

// jobWrites collects the writes of a job for a batch.
type jobWrites struct {
	job     *Job
	records *jobRecords
	writeID string
	writes  []write
}

// addLiveRecords adds the changed records of a job that is not in a terminal state.
func (w *jobWrites) addLiveRecords(rules *recordRules) {
	j, r := w.job, w.records
	if !rules.v1LeadersPossible() && r.format == storage.FormatV1 {
		r.migrate(j.done.set, j.stored, rules.nameBudget)
	}
	r.main.dirty = r.main.dirty || j.Cancelled && !j.CancelDurable
	r.markMainDirty()
	if !r.migrating {
		w.addMainRecord()
	}
	w.addNameParts()
	w.addDonePages()
	if r.migrating {
		w.addMainRecord()
	}
	for _, key := range r.obsolete {
		w.deleteRecord(key, false)
	}
	if j.stored && j.inPendingQueue && !r.main.dirty {
		w.deleteRecord(storage.KeyPending(j.Spec.ID), false) // the leader had already accepted it
	}
}

// setRecord adds a write of a record that names the given machines.
func (w *jobWrites) setRecord(record *recordState, machines []string, value any) {
	w.writes = append(w.writes, write{
		record:   record,
		machines: machines,
		change:   protocol.Change{Set: record.key, Value: protocol.Encode(value)},
	})
}

// deleteRecord adds a deletion. If withPrevious is set, it must be in the same transaction as
// the preceding write.
func (w *jobWrites) deleteRecord(key string, withPrevious bool) {
	w.writes = append(w.writes, write{change: protocol.Change{Delete: key}, withPrevious: withPrevious})
}

// deletePendingSubmission adds the deletion of the job's pending submission, if there is one.
func (w *jobWrites) deletePendingSubmission() {
	if w.job.inPendingQueue {
		w.deleteRecord(storage.KeyPending(w.job.Spec.ID), true)
	}
}

// addTerminalRecord adds the replacement of the main record by the terminal record.
func (w *jobWrites) addTerminalRecord(record *storage.TerminalRecord) {
	w.writes = append(w.writes, write{
		change: protocol.Change{Set: storage.KeyTerminal(w.job.Spec.ID), Value: protocol.Encode(record)},
	})
	w.deleteRecord(w.records.main.key, true)
	w.deletePendingSubmission()
}

// deleteV1Pages adds the deletion of pages in FormatV1 together with the main record, because a
// reader of FormatV1 rejects pages without a main record.
func (w *jobWrites) deleteV1Pages() {
	for _, n := range slices.Sorted(maps.Keys(w.records.donePagesV1)) {
		if record := w.records.donePagesV1[n]; record.version != 0 {
			w.deleteRecord(record.key, true)
		}
	}
}

// addMainRecord adds the main record, if it has changed.
func (w *jobWrites) addMainRecord() {
	record := w.records.main
	if !record.dirty {
		return
	}
	machines := w.records.namesToWrite(record)
	w.setRecord(record, machines, w.job.record(w.writeID, machines))
	w.deletePendingSubmission()
}

// addNameParts adds the parts with machine names that have changed.
func (w *jobWrites) addNameParts() {
	for _, n := range slices.Sorted(maps.Keys(w.records.nameParts)) {
		if record := w.records.nameParts[n]; record.dirty {
			machines := w.records.namesToWrite(record)
			w.setRecord(record, machines, storage.MachineNamesRecord{Format: storage.FormatV2, WriteID: w.writeID, Machines: machines})
		}
	}
}

// addDonePages adds the pages of the done set that have changed.
func (w *jobWrites) addDonePages() {
	pages, size, format, writeID := w.records.donePages, storage.PageTasks, storage.FormatV2, w.writeID
	if w.records.format == storage.FormatV1 {
		pages, size, format, writeID = w.records.donePagesV1, storage.PageTasksV1, 0, ""
	}
	for _, n := range slices.Sorted(maps.Keys(pages)) {
		if record := pages[n]; record.dirty {
			done := storage.EncodeDonePage(w.job.done.set.Page(n, size))
			w.setRecord(record, nil, storage.DonePageRecord{Format: format, WriteID: writeID, Done: done})
		}
	}
}

// markInFlight marks the entry's job as having a write in flight. It drops machine names that
// the written records leave out: whether or not the batch is committed, they no longer count
// as durable.
func (entry *batchEntry) markInFlight() {
	j := entry.job
	j.write.inFlight = true
	j.write.endInFlight = entry.terminal != nil || entry.cancelled && !j.CancelDurable
	if entry.complete {
		j.write.due, j.write.urgent = false, false
	}
	for _, w := range entry.writes {
		if w.record != nil {
			w.record.dirty = false
			j.records.dropUnused(w.record)
		}
	}
	j.done.moveToInFlight(&j.records)
	if entry.complete {
		entry.waiters = j.write.takeWaiters()
	}
}
