package cluster

import (
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Job is a live job: one that is not in a terminal state. The mutex of its State guards it.
type Job struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
	Cancelled bool
	// CancelDurable is set once the cancellation is durable and can be confirmed to the user.
	CancelDurable bool
	// CancelledAt is the steady time from which on a user may have been told of the cancellation.
	CancelledAt  units.Micros
	LiveAttempts LiveAttempts
	// UnreconciledMachines are the IDs of machines that may hold tasks of the job which no
	// heartbeat has listed.
	UnreconciledMachines map[string]bool
	// ExpiredMachines are the IDs of machines that may have held tasks of the job when their worker
	// lease expired, see State.Expired.
	ExpiredMachines map[string]bool
	LearnedAt       units.Micros // steady time at which this leader learned of it
	// waitingSince is the later of the last placement of a task and the time at which the job
	// began to have pending tasks again.
	waitingSince units.Micros
	JobOutcomes

	done        doneTasks
	doneAndLive int // number of tasks that are done and still have live attempts
	pending     pendingTasks
	records     jobRecords
	write       writeState

	stored bool // a record exists in the key-value store
	// inPendingQueue is set while the job has a record in the pending-submission queue,
	// which is to be deleted.
	inPendingQueue  bool
	cancelRequested units.Micros // time of day, 0 if not cancelled
	// cancelVersion is a version of the job's record that contains the cancellation.
	cancelVersion uint64
}

// JobOutcomes are the statistics of a job's finished attempts, see Outcomes.
type JobOutcomes struct {
	ConsecutiveErrors int            // failed attempts since the last success
	FailedMachines    FailedMachines // on which attempts failed
	Succeeded         bool           // an attempt has completed, or a replica is steady
	RetryAt           units.Micros   // steady time before which no task is placed
	Started           bool           // a heartbeat has shown one of its tasks running

	totalRuntime units.Micros // sum over the observed runs
	observedRuns int
	shortRuns    map[int]int // by replica of a service: consecutive runs shorter than steadyRuntime
}

func newJob(spec protocol.JobSpec, submitted units.Micros, format storage.Format) *Job {
	j := &Job{
		Spec:                 spec,
		Submitted:            submitted,
		LiveAttempts:         LiveAttempts{},
		UnreconciledMachines: map[string]bool{},
		ExpiredMachines:      map[string]bool{},
		JobOutcomes:          JobOutcomes{FailedMachines: FailedMachines{}},
		done:                 newDoneTasks(spec.Tasks),
		write:                newWriteState(),
	}
	j.records = newJobRecords(&j.Spec, j.UnreconciledMachines, j.ExpiredMachines, format)
	return j
}

// Cancel marks the job as cancelled. wall is the time of day, now the steady time.
func (j *Job) Cancel(wall, now units.Micros) {
	j.Cancelled = true
	j.CancelledAt, j.cancelRequested = now, wall
	j.MarkChanged(now, true)
}

// LearnedFromRecords sets the steady times of a job that a new leader has read from its records. wall
// is the time of day, now the steady time, and maxWallError the largest error of the time of day on
// any controller.
func (j *Job) LearnedFromRecords(wall, now, maxWallError units.Micros) {
	j.LearnedAt = now
	if j.Cancelled {
		j.CancelledAt = now - max(0, wall-j.cancelRequested+2*maxWallError)
	}
}

// MayHoldTasks reports whether a task of the job may be on any machine.
func (j *Job) MayHoldTasks() bool {
	return len(j.LiveAttempts)+len(j.UnreconciledMachines)+len(j.ExpiredMachines) > 0
}

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Spec.Kind == protocol.Service }

// Accepted reports whether the job is durable.
func (j *Job) Accepted() bool { return j.stored }

// isNew reports whether the job's next write accepts it. A job in the pending-submission
// queue is already accepted.
func (j *Job) isNew() bool { return !j.stored && !j.inPendingQueue }

// CancelVersion returns a version of the job's record that contains its cancellation, or 0
// while no stored record does.
func (j *Job) CancelVersion() uint64 { return j.cancelVersion }

// DoneCount returns the number of completed tasks.
func (j *Job) DoneCount() int { return j.done.count }

// Complete reports whether every task is done. A service is never complete.
func (j *Job) Complete() bool { return !j.IsService() && j.done.count == j.Spec.Tasks }

// Pending returns the number of tasks that are neither done nor have a live attempt. A done
// task keeps its live attempts until they are known to be gone; doneAndLive corrects for
// counting it twice.
func (j *Job) Pending() int {
	return j.Spec.Tasks - j.done.count - len(j.LiveAttempts) + j.doneAndLive
}

// requeueTask makes a task whose last attempt was removed pending again, unless it is done.
func (j *Job) requeueTask(i int, now units.Micros) {
	if j.IsDone(i) {
		j.doneAndLive--
		return
	}
	j.pending.retries = append(j.pending.retries, i)
	if onlyPending := j.Pending() == 1; onlyPending {
		j.waitingSince = now
	}
}

// WaitingSince returns the steady time since which the job's pending tasks have waited without a
// placement under this leader.
func (j *Job) WaitingSince() units.Micros { return max(j.LearnedAt, j.waitingSince) }

// HasTasksToPlace reports whether the job is accepted, not cancelled and has pending tasks.
func (j *Job) HasTasksToPlace() bool { return j.stored && !j.Cancelled && j.Pending() > 0 }

// UnreconciledTasks returns an upper bound on the number of tasks that unreconciled machines
// hold.
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

// DoneIsDurable reports whether a task is done and its completion is durable.
func (j *Job) DoneIsDurable(i int) bool { return j.IsDone(i) && j.done.isDurable(i) }

// Running returns the number of tasks that have a running attempt.
func (j *Job) Running() int {
	n := 0
	for task := range j.LiveAttempts {
		if j.taskRuns(task) {
			n++
		}
	}
	return n
}

// taskRuns reports whether an attempt of a task runs or writes a checkpoint.
func (j *Job) taskRuns(task int) bool {
	for a := range j.LiveAttempts.Of(task) {
		if a.Stage == Running || a.Stage == Checkpointing {
			return true
		}
	}
	return false
}

// MeanRuntime returns the mean run time of the job's observed runs, or 0 if there are none.
func (j *Job) MeanRuntime() units.Micros {
	if j.observedRuns == 0 {
		return 0
	}
	return j.totalRuntime / units.Micros(j.observedRuns)
}

// pendingTasks is the queue of a job's tasks to be placed: first the tasks to be retried, then
// those never placed by this leader, by index. It can contain tasks that are no longer pending.
type pendingTasks struct {
	retries []int // a stack: the last task is placed first
	next    int   // this leader has placed no task from this index on
}

// nextPendingTask removes the next pending task from the queue and returns its index. ok is
// false if no task is pending.
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

// isPending reports whether a task is neither done nor has a live attempt.
func (j *Job) isPending(i int) bool { return !j.done.has(i) && j.LiveAttempts[i] == nil }

// markDone marks a task as done and reports whether it was not done before. It has no effect
// on a service.
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

// MarkChanged marks the job as due to be written. An urgent write is not delayed to coalesce
// changes.
func (j *Job) MarkChanged(now units.Micros, urgent bool) { j.write.mark(now, urgent) }

// Durable returns a channel that is closed once all changes made so far are durable or the
// job is dropped.
func (j *Job) Durable() <-chan struct{} { return j.write.durableSignal() }

// EndInFlight reports whether the job's terminal state or cancellation is in a write batch
// whose outcome is not yet known. Other controllers may already read it from the key-value
// store.
func (j *Job) EndInFlight() bool { return j.write.endInFlight }

// WritePending reports whether a write of the job's records is due or in flight.
func (j *Job) WritePending() bool { return j.write.inFlight || j.write.due }

// CanRecordMachine reports whether the job's records name the machine or have space for its
// name.
func (j *Job) CanRecordMachine(machine string) bool { return j.records.hasSpaceFor(machine) }

// CanRecordNewMachine reports whether the job's records have space for the name of one more machine.
func (j *Job) CanRecordNewMachine() bool { return j.records.hasSpaceFor(newMachineName) }

// MachineNameIsDurable reports whether a record durably names the machine, so that a later leader
// expects the job's tasks there.
func (j *Job) MachineNameIsDurable(machine string) bool {
	return j.stored && j.records.isDurable(machine)
}

// RecordVersion returns the version at which the job's main record was last stored or read, or
// 0 if it was never stored.
func (j *Job) RecordVersion() uint64 { return j.records.main.version }

// terminalRecord returns the terminal record of a job that is complete, or that is cancelled
// and can have no attempt on any machine. It returns nil for any other job.
func (j *Job) terminalRecord(writeID string) *storage.TerminalRecord {
	var stage protocol.JobStage
	switch {
	case !j.stored:
		return nil
	case j.Cancelled && !j.MayHoldTasks():
		stage = protocol.StageCancelled
	case !j.Cancelled && j.Complete():
		stage = protocol.StageDone
	default:
		return nil
	}
	return &storage.TerminalRecord{Stage: stage, Tasks: j.Spec.Tasks, Done: j.done.count, WriteID: writeID}
}
