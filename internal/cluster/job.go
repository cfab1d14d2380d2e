package cluster

import (
	"math/bits"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// AttemptStage is where an attempt is, as far as the leader knows.
type AttemptStage uint8

// The stages of an attempt. An attempt that is Sent may or may not have
// reached its machine; only a later report tells.
const (
	Assigned AttemptStage = iota
	Sent
	Fetching
	Running
	Saving
)

// Attempt is one try of a task on a machine. It occupies the machine and the
// team's limit from its assignment until it is known to be gone.
type Attempt struct {
	Job     *Job
	Index   int
	Number  uint64
	Machine *Machine
	Stage   AttemptStage

	SentSeq      uint64 // the report in whose answer the start was sent
	SeenSeq      uint64 // the last report that showed it
	Assigned     units.Micros
	RunningSince units.Micros
	Stop         bool         // it is to be stopped
	Grace        units.Micros // with so much time to save
}

// Task gives the task's name.
func (a *Attempt) Task() string { return protocol.TaskName(a.Job.Spec.ID, a.Index) }

// Job is a live job.
type Job struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
	Cancelled bool
	// CancelStored: the cancellation is durable, so its user may be told.
	CancelStored bool
	Live         map[int]*Attempt
	Unconfirmed  map[string]bool // machines that may hold tasks nobody has told us of
	Since        units.Micros    // steady time when this leader learnt of it

	// What its attempts taught.
	Errors    int             // in a row, without a success between
	ErrorsOn  map[string]bool // machines on which it failed
	Succeeded bool
	RetryAt   units.Micros
	Begun     bool // one of its tasks was seen running
	runTotal  units.Micros
	runs      int
	done      bitset
	doneCount int
	retry     []int
	cursor    int
	records
	on        map[string]int // attempts by machine
	stored    bool           // a record exists in the state service
	endInSave bool           // its end or cancellation is in the save on its way
	// cancelVersion is a version of its record that told of the cancellation.
	cancelVersion uint64
	arrived       bool // it is in the inbox there, and to be taken out
	saving        bool
	alone         bool        // not to be saved together with others
	unsaved       bitset      // done, but not yet durably
	inSave        bitset      // done, and in the save on its way
	short         map[int]int // of a service's replicas: runs in a row that ended soon
	changed       bool        // something wants saving
	urgent        bool        // and at once
	changedSince  units.Micros
	saved         chan struct{}   // closed when the save that is due ends well
	sending       chan struct{}   // closed when the save on its way ends well
	waiting       []chan struct{} // likewise, from saves that were refused
}

func newJob(spec protocol.JobSpec, submitted units.Micros, format int) *Job {
	return &Job{
		Spec: spec, Submitted: submitted, Live: map[int]*Attempt{}, Unconfirmed: map[string]bool{},
		ErrorsOn: map[string]bool{}, done: newBitset(spec.Tasks), records: newRecords(spec.ID, format),
		unsaved: newBitset(spec.Tasks), inSave: newBitset(spec.Tasks), on: map[string]int{},
		saved: make(chan struct{}),
	}
}

// Service tells whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Spec.Shape == protocol.Service }

func (j *Job) recount() {
	j.doneCount = 0
	for _, b := range j.done {
		j.doneCount += bits.OnesCount8(b)
	}
}

// Accepted tells whether the job is durable.
func (j *Job) Accepted() bool { return j.stored }

// CancelVersion is a version of the job's record that tells of its cancellation, once
// that is stored.
func (j *Job) CancelVersion() uint64 { return j.cancelVersion }

// EndBeingStored tells whether the job's end or cancellation is in a save whose outcome
// is not known: other controllers may read it already.
func (j *Job) EndBeingStored() bool { return j.endInSave }

// DoneCount is the number of completed tasks.
func (j *Job) DoneCount() int { return j.doneCount }

// Complete tells whether every task is done. Those of a service never are.
func (j *Job) Complete() bool { return !j.Service() && j.doneCount == j.Spec.Tasks }

// Pending is the number of tasks that are neither done nor on a machine. A
// task can be both for a moment, when a former leader's attempt turns out to
// have completed.
func (j *Job) Pending() int { return max(0, j.Spec.Tasks-j.doneCount-len(j.Live)) }

// Unfinished is the number of tasks that are not done.
func (j *Job) Unfinished() int { return j.Spec.Tasks - j.doneCount }

// IsDone tells whether a task is done.
func (j *Job) IsDone(i int) bool { return i < j.Spec.Tasks && j.done.has(i) }

// DoneDurably tells whether a task's completion is stored.
func (j *Job) DoneDurably(i int) bool { return j.IsDone(i) && !j.unsaved.has(i) && !j.inSave.has(i) }

// Running counts the tasks that run.
func (j *Job) Running() int {
	n := 0
	for _, a := range j.Live {
		if a.Stage == Running || a.Stage == Saving {
			n++
		}
	}
	return n
}

// MeanRun is the mean run time of the tasks seen, 0 if none was.
func (j *Job) MeanRun() units.Micros {
	if j.runs == 0 {
		return 0
	}
	return j.runTotal / units.Micros(j.runs)
}

// next takes a pending task. Retries go first.
func (j *Job) next() (int, bool) {
	for len(j.retry) > 0 {
		i := j.retry[len(j.retry)-1]
		j.retry = j.retry[:len(j.retry)-1]
		if !j.done.has(i) && j.Live[i] == nil {
			return i, true
		}
	}
	for ; j.cursor < j.Spec.Tasks; j.cursor++ {
		if !j.done.has(j.cursor) && j.Live[j.cursor] == nil {
			j.cursor++
			return j.cursor - 1, true
		}
	}
	return 0, false
}

func (j *Job) markDone(i int) bool {
	if i >= j.Spec.Tasks || j.Service() || j.done.has(i) {
		return false
	}
	j.done.add(i)
	j.doneCount++
	j.unsaved.add(i)
	j.pageOf(i).dirty = true
	return true
}

// Changed notes that the record is to be written; at once if urgent.
func (j *Job) Changed(now units.Micros, urgent bool) {
	if !j.changed {
		j.changed, j.changedSince = true, now
	}
	j.urgent = j.urgent || urgent
}

// Saved gives a channel that is closed once all that was changed until now
// is durable.
func (j *Job) Saved() <-chan struct{} {
	if j.saving && !j.changed {
		return j.sending // the save on its way has it all
	}
	return j.saved
}
