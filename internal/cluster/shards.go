package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/bitset"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// A job is kept in several records. Each is written by itself, in an order in
// which a restore after any of the writes is safe: a machine is named before a
// start there and for as long as it may hold a task, a completion is never taken
// back. So a transaction need not hold all that has changed.

// shard is one record of a job.
type shard struct {
	key       string
	version   uint64          // 0: it is not stored
	dirty     bool            // it is to be written
	machines  map[string]bool // those that it names; true: durably
	nameBytes int             // bytes of JSON that these take
	nameLimit int             // and may take
}

// jobRecords are a live job's records. spec and unreconciled are the job's own.
type jobRecords struct {
	spec         *protocol.JobSpec
	unreconciled map[string]bool // machines that may hold tasks no heartbeat has shown
	attempts     map[string]int  // number of attempts by machine

	format       storage.Format
	migrating    bool           // into the new format: its own record is still in the old one
	main         *shard         // the job's own
	nameParts    map[int]*shard // further names
	donePages    map[int]*shard // of the done set
	oldDonePages map[int]*shard
	obsolete     []string // keys in the old format that are to be deleted

	shardOf       map[string]*shard // where a machine is named
	openShard     *shard            // where the last new name went
	partNameLimit int               // for names, in a part
}

// maxParts bounds the number of parts. The largest array has as many tasks, so
// as many machines at most.
const maxParts = protocol.MaxTasks

func newJobRecords(spec *protocol.JobSpec, unreconciled map[string]bool, format storage.Format) jobRecords {
	main := &shard{key: storage.KeyJob(spec.ID), dirty: true, machines: map[string]bool{}}
	return jobRecords{
		spec:         spec,
		unreconciled: unreconciled,
		attempts:     map[string]int{},
		format:       format,
		main:         main,
		openShard:    main,
		shardOf:      map[string]*shard{},
		nameParts:    map[int]*shard{},
		donePages:    map[int]*shard{},
		oldDonePages: map[int]*shard{},
	}
}

// forgetOldPages leaves the stored pages in the old format to be deleted.
func (r *jobRecords) forgetOldPages() {
	for n, sh := range r.oldDonePages {
		if sh.version != 0 {
			r.obsolete = append(r.obsolete, sh.key)
		}
		delete(r.oldDonePages, n)
	}
	slices.Sort(r.obsolete)
}

// pageOf returns the record in which a task's completion is kept.
func (r *jobRecords) pageOf(task int) *shard {
	pages, kind, n := r.donePages, byte(storage.PartDonePage), task/storage.PageTasks
	switch {
	case r.format == storage.FormatOld:
		pages, kind, n = r.oldDonePages, storage.PartOldDonePage, task/storage.OldPageTasks
		if n == 0 {
			return r.main
		}
	case r.spec.Tasks <= storage.InlineTasks:
		return r.main
	}
	if pages[n] == nil {
		pages[n] = &shard{key: storage.KeyJobPart(r.spec.ID, kind, n)}
	}
	return pages[n]
}

// inlineDone returns the part of the done set that is in the job's own record.
func (r *jobRecords) inlineDone(done bitset.Set) []byte {
	switch {
	case r.format == storage.FormatOld:
		return done.Page(0, storage.OldPageTasks)
	case r.spec.Tasks <= storage.InlineTasks:
		return done
	}
	return nil
}

// migrate begins to migrate a job into the new format. Its own record is written only
// after all else: until then it is the old one that names all machines.
func (r *jobRecords) migrate(done bitset.Set, stored bool, budget storage.NameBudgetFunc) {
	r.format, r.migrating = storage.FormatNew, stored
	r.main.dirty = true
	for p := 0; p*storage.PageTasks < r.spec.Tasks && r.spec.Tasks > storage.InlineTasks; p++ {
		if !bitset.Set(done.Page(p, storage.PageTasks)).Empty() {
			r.pageOf(p * storage.PageTasks).dirty = true
		}
	}
	r.forgetOldPages()
	r.setNameLimits(budget)
	r.moveExcessNames()
}

// markMainDirty marks the job's own record where it must go along with other changes: a page
// in the old format does not tell which write it belongs to.
func (r *jobRecords) markMainDirty() {
	if r.format != storage.FormatOld {
		return
	}
	for _, sh := range r.oldDonePages {
		r.main.dirty = r.main.dirty || sh.dirty
	}
}

// deleted notes that the record of a key was deleted.
func (r *jobRecords) deleted(key string) {
	r.obsolete = slices.DeleteFunc(r.obsolete, func(o string) bool { return o == key })
	for n, sh := range r.oldDonePages {
		if sh.key == key {
			delete(r.oldDonePages, n)
		}
	}
}

// furtherKeys returns the keys of the stored records beside the job's own.
func (r *jobRecords) furtherKeys() []string {
	keys := r.obsolete
	for _, shards := range []map[int]*shard{r.nameParts, r.donePages, r.oldDonePages} {
		for _, n := range slices.Sorted(maps.Keys(shards)) {
			if sh := shards[n]; sh.version != 0 {
				keys = append(keys, sh.key)
			}
		}
	}
	return keys
}
