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
	Checkpointing
)

// Attempt is one try of a task on a machine. It occupies the machine and the
// team's limit from its assignment until it is known to be gone.
type Attempt struct {
	Job     *Job
	Index   int
	Number  uint64
	Machine *Machine
	Stage   AttemptStage

	SentSequence uint64 // the report in whose answer the start was sent
	SeenSequence uint64 // the last report that showed it
	AssignedAt   units.Micros
	RunningSince units.Micros
	Stopping     bool         // it is to be stopped
	GracePeriod  units.Micros // with so much time to save
}

// TaskName gives the task's name.
func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.Index) }

// Job is a live job.
type Job struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
	Cancelled bool
	// CancelDurable: the cancellation is durable, so its user may be told.
	CancelDurable        bool
	LiveAttempts         map[int]*Attempt
	UnreconciledMachines map[string]bool // machines that may hold tasks nobody has told us of
	LearnedAt            units.Micros    // steady time when this leader learnt of it

	// What its attempts taught.
	ConsecutiveErrors int             // in a row, without a success between
	FailedMachines    map[string]bool // machines on which it failed
	Succeeded         bool
	RetryAt           units.Micros
	Started           bool // one of its tasks was seen running
	totalRuntime      units.Micros
	observedRuns      int
	done              bitset
	doneCount         int
	retryTasks        []int
	nextTask          int
	jobRecords
	attemptsByMachine map[string]int // attempts by machine
	stored            bool           // a record exists in the state service
	endInFlight       bool           // its end or cancellation is in the save on its way
	// cancelVersion is a version of its record that told of the cancellation.
	cancelVersion   uint64
	inPendingQueue  bool // it is in the inbox there, and to be taken out
	writeInFlight   bool
	writeAlone      bool        // not to be saved together with others
	doneUnwritten   bitset      // done, but not yet durably
	doneInFlight    bitset      // done, and in the save on its way
	shortRuns       map[int]int // of a service's replicas: runs in a row that ended soon
	changed         bool        // something wants saving
	urgent          bool        // and at once
	changedSince    units.Micros
	durable         chan struct{}   // closed when the save that is due ends well
	durableInFlight chan struct{}   // closed when the save on its way ends well
	refusedWaiters  []chan struct{} // likewise, from saves that were refused
}

func newJob(spec protocol.JobSpec, submitted units.Micros, format int) *Job {
	return &Job{
		Spec: spec, Submitted: submitted, LiveAttempts: map[int]*Attempt{}, UnreconciledMachines: map[string]bool{},
		FailedMachines: map[string]bool{}, done: newBitset(spec.Tasks), jobRecords: newRecords(spec.ID, format),
		doneUnwritten: newBitset(spec.Tasks), doneInFlight: newBitset(spec.Tasks), attemptsByMachine: map[string]int{},
		durable: make(chan struct{}),
	}
}

// IsService tells whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Spec.Kind == protocol.Service }

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

// EndInFlight tells whether the job's end or cancellation is in a save whose outcome
// is not known: other controllers may read it already.
func (j *Job) EndInFlight() bool { return j.endInFlight }

// DoneCount is the number of completed tasks.
func (j *Job) DoneCount() int { return j.doneCount }

// Complete tells whether every task is done. Those of a service never are.
func (j *Job) Complete() bool { return !j.IsService() && j.doneCount == j.Spec.Tasks }

// Pending is the number of tasks that are neither done nor on a machine. A
// task can be both for a moment, when a former leader's attempt turns out to
// have completed.
func (j *Job) Pending() int { return max(0, j.Spec.Tasks-j.doneCount-len(j.LiveAttempts)) }

// Unfinished is the number of tasks that are not done.
func (j *Job) Unfinished() int { return j.Spec.Tasks - j.doneCount }

// IsDone tells whether a task is done.
func (j *Job) IsDone(i int) bool { return i < j.Spec.Tasks && j.done.has(i) }

// DoneIsDurable tells whether a task's completion is stored.
func (j *Job) DoneIsDurable(i int) bool {
	return j.IsDone(i) && !j.doneUnwritten.has(i) && !j.doneInFlight.has(i)
}

// Running counts the tasks that run.
func (j *Job) Running() int {
	n := 0
	for _, a := range j.LiveAttempts {
		if a.Stage == Running || a.Stage == Checkpointing {
			n++
		}
	}
	return n
}

// MeanRuntime is the mean run time of the tasks seen, 0 if none was.
func (j *Job) MeanRuntime() units.Micros {
	if j.observedRuns == 0 {
		return 0
	}
	return j.totalRuntime / units.Micros(j.observedRuns)
}

// takePendingTask takes a pending task. Retries go first.
func (j *Job) takePendingTask() (int, bool) {
	for len(j.retryTasks) > 0 {
		i := j.retryTasks[len(j.retryTasks)-1]
		j.retryTasks = j.retryTasks[:len(j.retryTasks)-1]
		if !j.done.has(i) && j.LiveAttempts[i] == nil {
			return i, true
		}
	}
	for ; j.nextTask < j.Spec.Tasks; j.nextTask++ {
		if !j.done.has(j.nextTask) && j.LiveAttempts[j.nextTask] == nil {
			j.nextTask++
			return j.nextTask - 1, true
		}
	}
	return 0, false
}

func (j *Job) markDone(i int) bool {
	if i >= j.Spec.Tasks || j.IsService() || j.done.has(i) {
		return false
	}
	j.done.add(i)
	j.doneCount++
	j.doneUnwritten.add(i)
	j.pageOf(i).dirty = true
	return true
}

// MarkChanged notes that the record is to be written; at once if urgent.
func (j *Job) MarkChanged(now units.Micros, urgent bool) {
	if !j.changed {
		j.changed, j.changedSince = true, now
	}
	j.urgent = j.urgent || urgent
}

// Durable gives a channel that is closed once all that was changed until now
// is durable.
func (j *Job) Durable() <-chan struct{} {
	if j.writeInFlight && !j.changed {
		return j.durableInFlight // the save on its way has it all
	}
	return j.durable
}
