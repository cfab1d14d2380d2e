package cluster

import (
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Job is a live job: one that is not in a terminal state. The lock of the State that it
// belongs to guards it.
type Job struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
	Cancelled bool
	// CancelDurable: the cancellation is durable, so its user may be told.
	CancelDurable bool
	LiveAttempts  LiveAttempts
	// UnreconciledMachines may hold tasks of the job that no heartbeat has shown.
	UnreconciledMachines map[string]bool
	LearnedAt            units.Micros // steady time when this leader learnt of it
	JobOutcomes

	done        doneTasks
	doneAndLive int // tasks that are done and have live attempts
	pending     pendingTasks
	records     jobRecords
	write       writeState

	stored bool // a record exists in the key-value store
	// inPendingQueue: the store's queue of pending submissions holds it, to be deleted there.
	inPendingQueue bool
	// cancelVersion is a version of its record that contains the cancellation.
	cancelVersion uint64
}

// JobOutcomes is what the outcomes of a job's attempts taught about it, see Outcomes.
type JobOutcomes struct {
	ConsecutiveErrors int             // without a success between
	FailedMachines    map[string]bool // machines on which it failed
	Succeeded         bool            // an attempt has succeeded, or a replica has run long
	RetryAt           units.Micros    // steady time before which no task is placed
	Started           bool            // one of its tasks was seen running

	totalRuntime units.Micros
	observedRuns int
	shortRuns    map[int]int // by replica of a service: runs in a row that ended soon
}

func newJob(spec protocol.JobSpec, submitted units.Micros, format storage.Format) *Job {
	j := &Job{
		Spec:                 spec,
		Submitted:            submitted,
		LiveAttempts:         LiveAttempts{},
		UnreconciledMachines: map[string]bool{},
		JobOutcomes:          JobOutcomes{FailedMachines: map[string]bool{}},
		done:                 newDoneTasks(spec.Tasks),
		write:                newWriteState(),
	}
	j.records = newJobRecords(&j.Spec, j.UnreconciledMachines, format)
	return j
}

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Spec.Kind == protocol.Service }

// Accepted reports whether the job is durable.
func (j *Job) Accepted() bool { return j.stored }

// isNew reports whether the job's next write accepts it. One from the pending-submission
// queue was accepted there.
func (j *Job) isNew() bool { return !j.stored && !j.inPendingQueue }

// CancelVersion returns a version of the job's record that contains its cancellation, 0
// until that is stored.
func (j *Job) CancelVersion() uint64 { return j.cancelVersion }

// DoneCount returns the number of completed tasks.
func (j *Job) DoneCount() int { return j.done.count }

// Complete reports whether every task is done. Those of a service never are.
func (j *Job) Complete() bool { return !j.IsService() && j.done.count == j.Spec.Tasks }

// Pending returns the number of tasks that are neither done nor on a machine. A
// task can be both until its last attempt is known to be gone.
func (j *Job) Pending() int {
	return j.Spec.Tasks - j.done.count - len(j.LiveAttempts) + j.doneAndLive
}

// taskOffMachines notes that no attempt of a task is left. Unless it is done it is pending.
func (j *Job) taskOffMachines(i int) {
	if j.IsDone(i) {
		j.doneAndLive--
		return
	}
	j.pending.retries = append(j.pending.retries, i)
}

// HasTasksToPlace reports whether tasks of the job are to be placed.
func (j *Job) HasTasksToPlace() bool { return j.stored && !j.Cancelled && j.Pending() > 0 }

// UnreconciledTasks returns the number of tasks that unreconciled machines hold at worst.
func (j *Job) UnreconciledTasks() int {
	if len(j.UnreconciledMachines) == 0 {
		return 0
	}
	return j.Pending()
}

// Unfinished returns the number of tasks that are not done.
func (j *Job) Unfinished() int { return j.Spec.Tasks - j.done.count }

// IsDone reports whether a task is done.
func (j *Job) IsDone(i int) bool { return i < j.Spec.Tasks && j.done.has(i) }

// DoneIsDurable reports whether a task's completion is stored.
func (j *Job) DoneIsDurable(i int) bool { return j.IsDone(i) && j.done.isDurable(i) }

// Running returns the number of tasks that run.
func (j *Job) Running() int {
	n := 0
	for task := range j.LiveAttempts {
		if j.taskRuns(task) {
			n++
		}
	}
	return n
}

// taskRuns reports whether an attempt of a task runs.
func (j *Job) taskRuns(task int) bool {
	for a := range j.LiveAttempts.Of(task) {
		if a.Stage == Running || a.Stage == Checkpointing {
			return true
		}
	}
	return false
}

// MeanRuntime returns the mean run time of the tasks seen, 0 if none was.
func (j *Job) MeanRuntime() units.Micros {
	if j.observedRuns == 0 {
		return 0
	}
	return j.totalRuntime / units.Micros(j.observedRuns)
}

// pendingTasks yields the tasks of a job that are to be placed, those to be tried again
// first and the others in their order.
type pendingTasks struct {
	retries []int // the last one goes first
	next    int   // no task from here on was ever placed by this leader
}

// nextPendingTask removes the next pending task from the queue.
func (j *Job) nextPendingTask() (task int, ok bool) {
	p := &j.pending
	for len(p.retries) > 0 {
		i := p.retries[len(p.retries)-1]
		p.retries = p.retries[:len(p.retries)-1]
		if j.isPending(i) {
			return i, true
		}
	}
	for p.next < j.Spec.Tasks {
		i := p.next
		p.next++
		if j.isPending(i) {
			return i, true
		}
	}
	return 0, false
}

// isPending reports whether a task is neither done nor on a machine.
func (j *Job) isPending(i int) bool { return !j.done.has(i) && j.LiveAttempts[i] == nil }

// markDone notes that a task is done, and reports whether that is new.
func (j *Job) markDone(i int) bool {
	if i >= j.Spec.Tasks || j.IsService() || j.done.has(i) {
		return false
	}
	j.done.add(i)
	if j.LiveAttempts[i] != nil {
		j.doneAndLive++
	}
	j.records.pageOf(i).dirty = true
	return true
}

// MarkChanged notes that the job's records are to be written; at once if urgent.
func (j *Job) MarkChanged(now units.Micros, urgent bool) { j.write.mark(now, urgent) }

// Durable returns a channel that is closed once all changes made until now are durable, or
// the job is dropped.
func (j *Job) Durable() <-chan struct{} { return j.write.durableSignal() }

// EndInFlight reports whether the job's terminal state or cancellation is in a write batch
// whose outcome is not known: other controllers may read it already.
func (j *Job) EndInFlight() bool { return j.write.endInFlight }

// WritePending reports whether a write of the job's records is due or in flight.
func (j *Job) WritePending() bool { return j.write.inFlight || j.write.due }

// CanRecordMachine reports whether the job's records have space to name the machine.
func (j *Job) CanRecordMachine(machine string) bool { return j.records.hasSpaceFor(machine) }

// MachineIsDurable reports whether a record durably names the machine, so that a later
// leader would know to look for the job's tasks there.
func (j *Job) MachineIsDurable(machine string) bool {
	return j.stored && j.records.isDurable(machine)
}

// RecordVersion returns the version at which the job's own record was last stored or read, 0 if
// it never was.
func (j *Job) RecordVersion() uint64 { return j.records.main.version }

// terminalRecord returns the record of a job in a terminal state: complete, or cancelled
// and with nothing left on any machine. It is nil for any other job.
func (j *Job) terminalRecord(writeID string) *storage.TerminalRecord {
	var stage protocol.JobStage
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0:
		stage = protocol.StageCancelled
	case !j.Cancelled && j.Complete():
		stage = protocol.StageDone
	default:
		return nil
	}
	return &storage.TerminalRecord{Stage: stage, Tasks: j.Spec.Tasks, Done: j.done.count, WriteID: writeID}
}
