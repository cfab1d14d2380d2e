package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/bitset"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// A job is stored in a main record and, where it is large, in further parts. Each record can
// be written in a transaction of its own. The order of the writes makes a restore after any of
// them safe: a machine is named before a task starts there and for as long as it may hold a
// task, and a completion is never revoked. A transaction therefore need not contain all changes
// of a job.

// recordState is the state of one record of a job: the main record or a part.
type recordState struct {
	key       string
	version   uint64          // 0 if it is not stored
	dirty     bool            // it is to be written
	machines  map[string]bool // machines that it names; the value is true if durably
	nameBytes int             // size of these names as JSON
	nameLimit int             // upper limit of nameBytes
}

// jobRecords tracks the records of a live job. It shares spec, unreconciled and expired with the Job.
type jobRecords struct {
	spec         *protocol.JobSpec
	unreconciled map[string]bool // Job.UnreconciledMachines
	expired      map[string]bool // Job.ExpiredMachines
	attempts     map[string]int  // number of live attempts by machine

	format      storage.Format
	migrating   bool                 // to FormatV2; the stored main record is in FormatV1
	main        *recordState         // the main record
	nameParts   map[int]*recordState // by number: parts with machine names that do not fit in main
	donePages   map[int]*recordState // by number: parts with pages of the done set, in FormatV2
	donePagesV1 map[int]*recordState // the same in FormatV1
	obsolete    []string             // keys of parts in FormatV1 that are to be deleted

	recordOf      map[string]*recordState // by machine: the record that names it
	openRecord    *recordState            // the record that got the last new name
	partNameLimit int                     // nameLimit of a part
}

// maxParts bounds the number of a part with machine names: even the largest job array cannot
// be on more machines than it has tasks.
const maxParts = protocol.MaxTasks

func newJobRecords(spec *protocol.JobSpec, unreconciled, expired map[string]bool, format storage.Format) jobRecords {
	main := &recordState{key: storage.KeyJob(spec.ID), dirty: true, machines: map[string]bool{}}
	return jobRecords{
		spec:         spec,
		unreconciled: unreconciled,
		expired:      expired,
		attempts:     map[string]int{},
		format:       format,
		main:         main,
		openRecord:   main,
		recordOf:     map[string]*recordState{},
		nameParts:    map[int]*recordState{},
		donePages:    map[int]*recordState{},
		donePagesV1:  map[int]*recordState{},
	}
}

// markV1PagesObsolete schedules the stored pages in FormatV1 for deletion.
func (r *jobRecords) markV1PagesObsolete() {
	for n, record := range r.donePagesV1 {
		if record.version != 0 {
			r.obsolete = append(r.obsolete, record.key)
		}
		delete(r.donePagesV1, n)
	}
	slices.Sort(r.obsolete)
}

// pageOf returns the record that contains a task's completion. It adds a page that does not
// exist yet.
func (r *jobRecords) pageOf(task int) *recordState {
	pages, kind, n := r.donePages, byte(storage.PartDonePage), task/storage.PageTasks
	switch {
	case r.format == storage.FormatV1:
		pages, kind, n = r.donePagesV1, storage.PartDonePageV1, task/storage.PageTasksV1
		if n == 0 {
			return r.main
		}
	case r.spec.Tasks <= storage.InlineTasks:
		return r.main
	}
	if pages[n] == nil {
		pages[n] = &recordState{key: storage.KeyJobPart(r.spec.ID, kind, n)}
	}
	return pages[n]
}

// inlineDone returns the part of the done set that the main record contains. It shares memory
// with done.
func (r *jobRecords) inlineDone(done bitset.Set) []byte {
	switch {
	case r.format == storage.FormatV1:
		return done.Page(0, storage.PageTasksV1)
	case r.spec.Tasks <= storage.InlineTasks:
		return done
	}
	return nil
}

// migrate starts the migration of a job to FormatV2. The main record is written after all
// parts, because until then the stored one in FormatV1 names all machines.
func (r *jobRecords) migrate(done bitset.Set, stored bool, budget storage.MachineNameBudgetFunc) {
	r.format, r.migrating = storage.FormatV2, stored
	r.main.dirty = true
	for p := 0; p*storage.PageTasks < r.spec.Tasks && r.spec.Tasks > storage.InlineTasks; p++ {
		if !bitset.Set(done.Page(p, storage.PageTasks)).Empty() {
			r.pageOf(p * storage.PageTasks).dirty = true
		}
	}
	r.markV1PagesObsolete()
	r.setNameLimits(budget)
	r.moveExcessNames()
}

// markMainDirty marks the main record as dirty if a page in FormatV1 is. Such a page has no
// write ID, so only the main record shows whether the write was applied.
func (r *jobRecords) markMainDirty() {
	if r.format != storage.FormatV1 {
		return
	}
	for _, record := range r.donePagesV1 {
		r.main.dirty = r.main.dirty || record.dirty
	}
}

// recordDeleted stops tracking the page in FormatV1 under a key that was deleted from the key-value
// store.
func (r *jobRecords) recordDeleted(key string) {
	r.obsolete = slices.DeleteFunc(r.obsolete, func(o string) bool { return o == key })
	for n, record := range r.donePagesV1 {
		if record.key == key {
			delete(r.donePagesV1, n)
		}
	}
}

// storedPartKeys returns the keys of the job's stored parts and of its obsolete records.
func (r *jobRecords) storedPartKeys() []string {
	keys := r.obsolete
	for _, parts := range []map[int]*recordState{r.nameParts, r.donePages, r.donePagesV1} {
		for _, n := range slices.Sorted(maps.Keys(parts)) {
			if record := parts[n]; record.version != 0 {
				keys = append(keys, record.key)
			}
		}
	}
	return keys
}
