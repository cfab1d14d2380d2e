package bookkeeping

import (
	"sort"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Save is a group of records on their way to the state service, as one
// transaction. Its jobs are saved by nothing else until its outcome is known.
type Save struct {
	ID    string
	Txn   protocol.Txn
	parts []savePart
}

type savePart struct {
	job      *Job
	final    *Final
	machines []string
	pages    []int
	waiters  []chan struct{}
	key      string
	cancel   bool
	arrived  bool
}

// SaveLimits bounds a Save.
type SaveLimits struct {
	Ops   int          // changes in a transaction
	Lazy  units.Micros // changes that nobody waits for are gathered for so long
	Tasks bool         // also write what nobody waits for
}

// A transaction may hold 64 KiB as JSON, which is at most about half larger
// than CBOR.
const maxSaveBytes = 36 << 10

// maxRecordBytes bounds a record whatever the state service would take: with
// the pages of the largest array it must fit into a transaction.
const maxRecordBytes = 24 << 10

// leastNames is the room for names, in bytes of JSON, without which a job is
// not accepted.
const leastNames = 1000

// nameRoom gives the bytes of JSON that are left for the names of machines in
// a job's record, however far the job gets. A large array spreads over most of
// the fleet, so all that a value may hold is used.
func nameRoom(spec protocol.JobSpec, valueBytes int) int {
	j := &Job{Spec: spec, done: bitset{}}
	donePage := (min(spec.Tasks, pageTasks)/8+1)*4/3 + 64
	return min(valueBytes, maxRecordBytes) - jsonSize(j.record("00000000000000000000-00000000000000000000", nil)) - donePage
}

// nameSize is what a name takes, with its quotes and comma.
func nameSize(machine string) int { return len(machine) + 3 }

// RecordFits tells whether a job's record will always fit into a value of the
// state service, however far the job gets.
func RecordFits(spec protocol.JobSpec, valueBytes int) bool {
	return nameRoom(spec, valueBytes) >= leastNames
}

// end gives the final record of a job that is over: complete, or cancelled
// and with nothing left on any machine.
func (j *Job) end(id string) *Final {
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && len(j.Live) == 0 && len(j.Doubts) == 0:
		return &Final{Stage: protocol.StageCancelled, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	case !j.Cancelled && j.Complete():
		return &Final{Stage: protocol.StageDone, Tasks: j.Spec.Tasks, Done: j.doneCount, Save: id}
	}
	return nil
}

// BuildSave gathers what is to be written now, what somebody waits for first.
// heads are the versions of the buckets' heads, on which every save is
// conditional. It gives nil if there is nothing to write.
func (l *Ledger) BuildSave(id string, heads []uint64, limits SaveLimits, now units.Micros) *Save {
	var due []*Job
	for _, j := range l.Jobs {
		if j.changed && !j.saving && (j.urgent || limits.Tasks && now-j.changedSince >= limits.Lazy) {
			due = append(due, j)
		}
	}
	if len(due) == 0 {
		return nil
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
	size := 0
	for _, j := range due {
		if len(s.parts) >= limits.Ops {
			break
		}
		part, changes := j.part(id)
		if part.arrived = j.arrived; part.arrived {
			changes = append(changes, protocol.Change{Delete: KeyInbox(j.Spec.ID)})
		}
		for _, c := range changes {
			size += len(c.Value) + 64
		}
		if len(s.parts) > 0 && (len(s.Txn.Then)+len(changes) > limits.Ops || size > maxSaveBytes) {
			break
		}
		if b := BucketOf(j.Spec.ID); !seen[b] {
			seen[b] = true
			s.Txn.If = append(s.Txn.If, protocol.Condition{Key: KeyHead(b), Version: heads[b]})
		}
		s.Txn.If = append(s.Txn.If, protocol.Condition{Key: KeyJob(j.Spec.ID), Version: j.version})
		if !j.stored || part.final != nil {
			s.Txn.If = append(s.Txn.If, protocol.Condition{Key: KeyFinal(j.Spec.ID)})
		}
		s.Txn.Then = append(s.Txn.Then, changes...)
		s.parts = append(s.parts, part)
		j.begin(part)
	}
	s.takeWaiters()
	return s
}

// userWaits tells whether a user is answered only after the job's next save.
func (j *Job) userWaits() bool { return !j.stored || j.Cancelled && !j.CancelStored }

func (j *Job) part(id string) (savePart, []protocol.Change) {
	key := KeyJob(j.Spec.ID)
	if f := j.end(id); f != nil {
		changes := []protocol.Change{{Set: KeyFinal(j.Spec.ID), Value: protocol.Encode(f)}, {Delete: key}}
		for p := range j.storedPages {
			changes = append(changes, protocol.Change{Delete: keyPage(j.Spec.ID, p)})
		}
		return savePart{job: j, final: f, key: KeyFinal(j.Spec.ID)}, changes
	}
	part := savePart{job: j, key: key, cancel: j.Cancelled}
	used := map[string]bool{}
	for _, a := range j.Live {
		used[a.Machine.ID] = true
	}
	for m := range j.machines {
		if used[m] || j.Doubts[m] {
			part.machines = append(part.machines, m)
		}
	}
	sort.Strings(part.machines)
	changes := []protocol.Change{{Set: key, Value: protocol.Encode(j.record(id, part.machines))}}
	for p := range j.dirtyPages {
		part.pages = append(part.pages, p)
		if p > 0 {
			changes = append(changes, protocol.Change{Set: keyPage(j.Spec.ID, p),
				Value: protocol.Encode(page{encodePage(j.done.page(p))})})
		}
	}
	return part, changes
}

// begin marks the job as being saved. Names that the record leaves out may not
// be used any more, whether or not the save is carried out.
func (j *Job) begin(part savePart) {
	j.saving, j.changed, j.urgent = true, false, false
	if part.final == nil {
		keep := make(map[string]bool, len(part.machines))
		j.names = 0
		for _, m := range part.machines {
			keep[m] = j.machines[m]
			j.names += nameSize(m)
		}
		j.machines = keep
	}
	for i := range j.unsaved {
		j.inSave[i] = true
	}
	clear(j.unsaved)
	clear(j.dirtyPages)
}

// Waiters are taken when the save is built: what changes later waits for the
// next one.
func (s *Save) takeWaiters() {
	for i := range s.parts {
		j := s.parts[i].job
		s.parts[i].waiters = append(j.waiting, j.saved)
		j.waiting, j.sending, j.saved = nil, j.saved, make(chan struct{})
	}
}

// Probe is the key whose record tells, by the save's id, whether the save was
// carried out.
func (s *Save) Probe() string { return s.parts[0].key }

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
		j.saving, j.stored, j.version = false, true, revision
		j.CancelStored = j.CancelStored || p.cancel
		j.arrived = j.arrived && !p.arrived
		clear(j.inSave)
		for _, m := range p.machines {
			if _, named := j.machines[m]; named {
				j.machines[m] = true
			}
		}
		for _, n := range p.pages {
			if n > 0 {
				j.storedPages[n] = true
			}
		}
		if p.final != nil {
			finished[j.Spec.ID] = *p.final
			l.remove(j)
		}
		for _, w := range p.waiters {
			close(w)
		}
	}
	return finished
}

// Refused takes over that the save was certainly not carried out and never
// will be: its changes are due again.
func (l *Ledger) Refused(s *Save, now units.Micros) {
	for _, p := range s.parts {
		j := p.job
		j.saving = false
		for i := range j.inSave {
			j.unsaved[i] = true
			j.dirtyPages[i/pageTasks] = true
		}
		clear(j.inSave)
		for _, n := range p.pages {
			j.dirtyPages[n] = true
		}
		j.Changed(now, true)
		j.waiting = append(j.waiting, p.waiters...)
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
