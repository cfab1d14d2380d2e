package bookkeeping

import (
	"maps"
	"slices"
	"sort"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Save is a group of records on their way to the state service, as one
// transaction. Its jobs are saved by nothing else until its outcome is known.
type Save struct {
	ID    string
	Txn   protocol.Txn
	parts []savePart
	left  []leftover
}

// savePart is what a save holds of a job.
type savePart struct {
	job     *Job
	final   *Final
	writes  []write
	whole   bool // all of the job that was to be written
	waiters []chan struct{}
	cancel  bool
}

// write is one change in a job's records.
type write struct {
	change   protocol.Change
	shard    *shard   // nil: something is deleted
	machines []string // that the record names
	with     bool     // only together with the one before
}

// leftover is a record of a job that is over.
type leftover struct {
	bucket int
	key    string
}

// SaveLimits bounds a Save.
type SaveLimits struct {
	Lazy  units.Micros // changes that nobody waits for are gathered for so long
	Tasks bool         // also write what nobody waits for
}

// A transaction may hold 64 KiB as JSON, which is at most about half larger
// than CBOR.
const maxSaveBytes = 36 << 10

// maxRecordBytes bounds a record whatever the state service would take: with
// the pages of the largest array it must fit into a transaction. maxPartBytes
// keeps it cheap to name one more machine.
const (
	maxRecordBytes = 24 << 10
	maxPartBytes   = 8 << 10
)

// leastNames is the room for names, in bytes of JSON, without which a job is
// not accepted in the old form.
const leastNames = 1000

// longestSave is as long as the id of any save.
const longestSave = "00000000000000000000-00000000000000000000"

// roomFor gives the bytes of JSON that are left for the names of machines in a
// job's record, however far the job gets, and in a further part.
type roomFor func(spec *protocol.JobSpec, format int) (main, part int)

func rooms(now, both int) roomFor {
	return func(spec *protocol.JobSpec, format int) (main, part int) {
		j := &Job{Spec: *spec, records: records{format: format}}
		value, done := now, min(spec.Tasks, oldPageTasks)
		if format != FormatOld {
			if value, done = both, spec.Tasks; done > inlineTasks {
				done = 0
			}
		}
		main = min(value, maxRecordBytes) - jsonSize(j.record(longestSave, nil)) - (done/8+1)*4/3 - 64
		part = min(value, maxPartBytes) - jsonSize(names{
			Format:   FormatNew,
			Save:     longestSave,
			Machines: []string{},
		})
		return main, part
	}
}

// Fits tells whether a job can be kept in records of a format, however far the
// job gets.
func Fits(spec *protocol.JobSpec, format int, state config.State) bool {
	both := state.Both()
	main, _ := rooms(state.ValueBytes(), both.ValueBytes())(spec, format)
	if format != FormatOld {
		return main >= 0
	}
	// The end of a job takes all its pages away in one transaction.
	return main >= leastNames && 3+(spec.Tasks-1)/oldPageTasks <= state.TxnOps
}

// nameSize is what a name takes, with its quotes and comma.
func nameSize(machine string) int { return len(machine) + 3 }

// end gives the final record of a job that is over: complete, or cancelled
// and with nothing left on any machine.
func (j *Job) end(id string) *Final {
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && len(j.Live) == 0 && len(j.Unconfirmed) == 0:
		return &Final{Stage: protocol.StageCancelled, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	case !j.Cancelled && j.Complete():
		return &Final{Stage: protocol.StageDone, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	}
	return nil
}

// BuildSave gathers what is to be written now, what somebody waits for first.
// bucketVersions are the versions of the buckets' heads, on which every save is
// conditional. It gives nil if there is nothing to write.
func (l *Ledger) BuildSave(id string, bucketVersions []uint64, limits SaveLimits, now units.Micros) *Save {
	var due []*Job
	for _, j := range l.Jobs {
		if j.changed && !j.saving && (j.urgent || limits.Tasks && now-j.changedSince >= limits.Lazy) {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(i, k int) bool {
		a, b := due[i], due[k]
		if a.urgent != b.urgent {
			return a.urgent
		}
		// A user waits for a job's acceptance or cancellation. When a term begins
		// in a large fleet, the names of machines alone can fill the rate of
		// writes for seconds.
		if a.userWaits() != b.userWaits() {
			return a.userWaits()
		}
		if a.changedSince != b.changedSince {
			return a.changedSince < b.changedSince
		}
		return a.Spec.ID < b.Spec.ID
	})
	s := &Save{ID: id}
	seen := map[int]bool{}
	head := func(b int) {
		if !seen[b] {
			seen[b] = true
			s.Txn.If = append(s.Txn.If, protocol.Condition{Key: KeyHead(b), Version: bucketVersions[b]})
		}
	}
	ops, size := l.ops(), 0
	for _, j := range due {
		if len(s.parts) > 0 && (j.alone || s.parts[0].job.alone) {
			continue
		}
		part, all := l.part(j, id)
		if l.tooLarge(j, all) {
			continue // until it may be divided
		}
		if len(all) == 0 {
			j.nothingToSave()
			continue
		}
		n, bytes := cut(all, ops-len(s.Txn.Then), maxSaveBytes-size, len(s.parts) == 0)
		if n < len(all) && len(s.parts) > 0 {
			break
		}
		size += bytes
		part.writes, part.whole = all[:n], n == len(all)
		head(BucketOf(j.Spec.ID))
		if !j.stored || part.final != nil {
			s.Txn.If = append(s.Txn.If, protocol.Condition{Key: KeyFinal(j.Spec.ID)})
		}
		if part.final != nil {
			s.Txn.If = append(s.Txn.If, protocol.Condition{Key: j.main.key, Version: j.main.version})
		}
		for _, w := range part.writes {
			if w.shard != nil {
				s.Txn.If = append(s.Txn.If, protocol.Condition{Key: w.shard.key, Version: w.shard.version})
			}
			s.Txn.Then = append(s.Txn.Then, w.change)
		}
		j.begin(&part)
		s.parts = append(s.parts, part)
	}
	// What is left of jobs that are over is deleted when there is time.
	for limits.Tasks && len(s.Txn.Then) < ops && len(l.left) > 0 {
		left := l.left[0]
		l.left = l.left[1:]
		head(left.bucket)
		s.Txn.Then = append(s.Txn.Then, protocol.Change{Delete: left.key})
		s.left = append(s.left, left)
	}
	if len(s.Txn.Then) == 0 {
		return nil
	}
	return s
}

// tooLarge tells whether a job has a record in the old form that the state
// service does not take any more, while it must not be divided yet.
func (l *Ledger) tooLarge(j *Job, all []write) bool {
	if !l.tight || !l.oldLeaders() {
		return false
	}
	return slices.ContainsFunc(all, func(w write) bool {
		size := len(w.change.Value)
		if w.shard == j.main {
			size = jsonSize(j.record(longestSave, w.machines))
		}
		return size > l.state.Both().ValueBytes()
	})
}

// cut gives how many of a job's writes go into a transaction, and their size.
// What must go together does, even where nothing else is in the transaction and
// it is over its limit: the state service then tells.
func cut(all []write, ops, bytes int, first bool) (n, size int) {
	for i := 0; i < len(all); {
		k, add := i, 0
		for {
			add += len(all[k].change.Value) + 64
			if k++; k == len(all) || !all[k].with {
				break
			}
		}
		if (k > ops || size+add > bytes) && !(first && i == 0) {
			break
		}
		i, n, size = k, k, size+add
	}
	return n, size
}

// userWaits tells whether a user is answered only after the job's next save.
func (j *Job) userWaits() bool { return !j.stored || j.Cancelled && !j.CancelStored }

// part gives all that is to be written of a job, in an order in which it is safe
// to stop anywhere.
func (l *Ledger) part(j *Job, id string) (savePart, []write) {
	part := savePart{job: j, cancel: j.Cancelled}
	var out []write
	remove := func(key string, with bool) {
		out = append(out, write{change: protocol.Change{Delete: key}, with: with})
	}
	inbox := func() {
		if j.arrived {
			remove(KeyInbox(j.Spec.ID), true)
		}
	}
	if f := j.end(id); f != nil {
		part.final = f
		out = append(out, write{change: protocol.Change{Set: KeyFinal(j.Spec.ID), Value: protocol.Encode(f)}})
		remove(j.main.key, true)
		inbox()
		if l.oldLeaders() && j.format == FormatOld {
			// A reader of the old form refuses pages without their job.
			for _, n := range slices.Sorted(maps.Keys(j.oldPages)) {
				if c := j.oldPages[n]; c.version != 0 {
					remove(c.key, true)
				}
			}
		}
		return part, out
	}
	if !l.oldLeaders() && j.format == FormatOld {
		j.migrate(l.rooms)
	}
	j.main.dirty = j.main.dirty || j.Cancelled && !j.CancelStored
	if j.format == FormatOld { // a page in the old form does not tell whose save it was
		for _, c := range j.oldPages {
			j.main.dirty = j.main.dirty || c.dirty
		}
	}
	main := func() {
		if !j.main.dirty {
			return
		}
		machines := j.named(j.main)
		out = append(out, write{shard: j.main, machines: machines,
			change: protocol.Change{Set: j.main.key, Value: protocol.Encode(j.record(id, machines))}})
		inbox()
	}
	if !j.migrating {
		main()
	}
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		if c := j.parts[n]; c.dirty {
			machines := j.named(c)
			out = append(out, write{shard: c, machines: machines,
				change: protocol.Change{Set: c.key, Value: protocol.Encode(names{FormatNew, id, machines})}})
		}
	}
	pages, size, format := j.pages, pageTasks, FormatNew
	if j.format == FormatOld {
		pages, size, format = j.oldPages, oldPageTasks, 0
	}
	for _, n := range slices.Sorted(maps.Keys(pages)) {
		if c := pages[n]; c.dirty {
			p := page{Format: format, Done: encodePage(j.done.page(n, size))}
			if format != 0 {
				p.Save = id
			}
			out = append(out, write{shard: c, change: protocol.Change{Set: c.key, Value: protocol.Encode(p)}})
		}
	}
	if j.migrating {
		main()
	}
	for _, key := range j.obsolete {
		remove(key, false)
	}
	return part, out
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

// Probe is a key whose record tells, by the save's id, whether the save was
// carried out; "" if it only deletes, which may as well be done again.
func (s *Save) Probe() string {
	for _, c := range s.Txn.Then {
		if c.Set != "" {
			return c.Set
		}
	}
	return ""
}

// Jobs lists the ids of the jobs in the save.
func (s *Save) Jobs() []string {
	ids := make([]string, len(s.parts))
	for i, p := range s.parts {
		ids[i] = p.job.Spec.ID
	}
	return ids
}

// Applied takes over that the save was carried out at a revision. It gives
// the jobs that are finished by it; they leave the ledger.
func (l *Ledger) Applied(s *Save, revision uint64) map[string]Final {
	finished := map[string]Final{}
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
		j.arrived = j.arrived && key != KeyInbox(j.Spec.ID)
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
		l.left = append(l.left, leftover{BucketOf(job), key})
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

// Drop removes a job that was never accepted, because its id turned out to be
// that of a finished job.
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
