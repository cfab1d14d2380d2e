package cluster

import (
	"slices"

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
	nameBytes int             // bytes that these take
	nameSpace int             // and may take
}

// jobRecords are a live job's records.
type jobRecords struct {
	format        int
	migrating     bool           // into the new form: its own record is still in the old one
	main          *shard         // the job's own
	nameParts     map[int]*shard // further names
	donePages     map[int]*shard // of the done set
	oldDonePages  map[int]*shard
	obsolete      []string          // keys in the old form that are to be deleted
	shardOf       map[string]*shard // where a machine is named
	openShard     *shard            // where the last new name went
	partNameSpace int               // for names, in a part
}

// maxParts bounds the number of parts. The largest array has as many tasks, so
// as many machines at most.
const maxParts = protocol.MaxTasks

func newRecords(job string, format int) jobRecords {
	main := &shard{key: storage.KeyJob(job), dirty: true, machines: map[string]bool{}}
	return jobRecords{format: format, main: main, openShard: main, shardOf: map[string]*shard{},
		nameParts: map[int]*shard{}, donePages: map[int]*shard{}, oldDonePages: map[int]*shard{}}
}

// restoreNames takes in the names that a record holds.
func (j *Job) restoreNames(c *shard, machines []string) {
	if c.machines == nil {
		c.machines = map[string]bool{}
	}
	for _, m := range machines {
		j.UnreconciledMachines[m] = true
		if j.shardOf[m] == nil {
			j.addName(c, m, true)
		}
	}
}

// finishRestore completes a job that was read.
func (j *Job) finishRestore() {
	j.main.dirty = false
	for _, c := range j.nameParts {
		c.dirty = false
	}
	if j.IsService() {
		clear(j.done) // an older version may have taken it for an array
	}
	if j.format == storage.FormatNew { // turned, but for this
		j.forgetOldPages()
	}
	j.recount()
}

func (j *Job) forgetOldPages() {
	for n, c := range j.oldDonePages {
		if c.version != 0 {
			j.obsolete = append(j.obsolete, c.key)
		}
		delete(j.oldDonePages, n)
	}
	slices.Sort(j.obsolete)
}

// pageOf gives the record that a task's completion is kept in.
func (j *Job) pageOf(task int) *shard {
	pages, kind, n := j.donePages, byte(storage.PartDonePage), task/pageTasks
	switch {
	case j.format == storage.FormatOld:
		pages, kind, n = j.oldDonePages, storage.PartOldDonePage, task/oldPageTasks
		if n == 0 {
			return j.main
		}
	case j.Spec.Tasks <= inlineTasks:
		return j.main
	}
	if pages[n] == nil {
		pages[n] = &shard{key: storage.KeyJobPart(j.Spec.ID, kind, n)}
	}
	return pages[n]
}

// migrate begins to migrate a job into the new form. Its own record is written only
// after all else: until then it is the old one that names all machines.
func (j *Job) migrate(room nameSpaceFunc) {
	j.format, j.migrating = storage.FormatNew, j.stored
	j.main.dirty = true
	for p := 0; p*pageTasks < j.Spec.Tasks && j.Spec.Tasks > inlineTasks; p++ {
		if !bitset(j.done.page(p, pageTasks)).empty() {
			j.pageOf(p * pageTasks).dirty = true
		}
	}
	j.forgetOldPages()
	j.setNameSpace(room)
	var over []string
	kept := 0
	for _, m := range sortedNames(j.main.machines) {
		if !j.inUse(m) {
			j.dropName(m)
		} else if kept += nameSize(m); kept > j.main.nameSpace {
			over = append(over, m)
		}
	}
	for _, m := range over {
		durable := j.main.machines[m]
		j.dropName(m)
		j.addName(j.shardFor(m), m, durable)
	}
}

// setNameSpace gives each record its room for names.
func (j *Job) setNameSpace(room nameSpaceFunc) {
	j.main.nameSpace, j.partNameSpace = room(&j.Spec, j.format)
	for _, c := range j.nameParts {
		c.nameSpace = j.partNameSpace
	}
}

func (j *Job) inUse(machine string) bool {
	return j.attemptsByMachine[machine] > 0 || j.UnreconciledMachines[machine]
}

func (j *Job) addName(c *shard, machine string, durable bool) {
	c.machines[machine] = durable
	c.nameBytes += nameSize(machine)
	c.dirty = true
	j.shardOf[machine] = c
}

// dropName takes a name out. The record that holds it need not be written for that.
func (j *Job) dropName(machine string) {
	c := j.shardOf[machine]
	delete(c.machines, machine)
	c.nameBytes -= nameSize(machine)
	delete(j.shardOf, machine)
}

// recordMachine adds a machine to the records in the making, and tells whether it was
// missing there.
func (j *Job) recordMachine(machine string) bool {
	if j.shardOf[machine] != nil {
		return false
	}
	j.addName(j.shardFor(machine), machine, false)
	return true
}

// shardFor chooses a record for a new name: the one that got the last, else one
// in which names that are not needed any more leave room, else a new part.
func (j *Job) shardFor(machine string) *shard {
	size := nameSize(machine)
	if j.format == storage.FormatOld || j.openShard.nameBytes+size <= j.openShard.nameSpace {
		return j.openShard
	}
	best := j.main
	for n := 0; n <= len(j.nameParts); n++ {
		c := j.main
		if n > 0 {
			c = j.nameParts[n]
		}
		if c == nil {
			continue
		}
		for _, m := range sortedNames(c.machines) {
			if !j.inUse(m) {
				j.dropName(m)
			}
		}
		if c.nameSpace-c.nameBytes > best.nameSpace-best.nameBytes {
			best = c
		}
	}
	if free := best.nameSpace - best.nameBytes; free < size || free < best.nameSpace/4 {
		n := 1
		for j.nameParts[n] != nil {
			n++
		}
		best = &shard{key: storage.KeyJobPart(j.Spec.ID, storage.PartMachineNames, n), machines: map[string]bool{}, nameSpace: j.partNameSpace}
		j.nameParts[n] = best
	}
	j.openShard = best
	return best
}

// CanRecordMachine tells whether the job's records have room to name the machine.
func (j *Job) CanRecordMachine(machine string) bool {
	return j.format != storage.FormatOld || j.main.nameBytes+nameSize(machine) <= j.main.nameSpace || j.shardOf[machine] != nil
}

// MachineIsDurable tells whether a record durably names the machine, so that a later
// leader would know to look for the job's tasks there.
func (j *Job) MachineIsDurable(machine string) bool {
	c := j.shardOf[machine]
	return j.stored && c != nil && c.machines[machine]
}
