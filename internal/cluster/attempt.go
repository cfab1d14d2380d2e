package cluster

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// AttemptStage is the last known stage of an attempt.
type AttemptStage uint8

// The stages of an attempt in order. For an attempt in the stage Sent it is not known whether
// the start command reached the machine until a later heartbeat shows it.
const (
	Assigned AttemptStage = iota
	Sent
	Fetching
	Running
	Checkpointing
)

// String returns the stage's name in lower case.
func (s AttemptStage) String() string {
	switch s {
	case Assigned:
		return "assigned"
	case Sent:
		return "sent"
	case Fetching:
		return "fetching"
	case Running:
		return "running"
	case Checkpointing:
		return "checkpointing"
	}
	return fmt.Sprintf("AttemptStage(%d)", uint8(s))
}

// Attempt is one execution of a task on a machine. It counts against the machine's capacity
// and the team's quota limit from its assignment until it is known to be gone.
type Attempt struct {
	Job     *Job
	Index   int    // of the task in the job
	Number  uint64 // unique across all leaders, see State.NextAttempt
	Machine *Machine
	Stage   AttemptStage

	SentSequence uint64       // sequence number of the heartbeat whose response carried the start
	SeenSequence uint64       // sequence number of the last heartbeat that listed the attempt
	AssignedAt   units.Micros // steady time
	RunningSince units.Micros // steady time, 0 until a heartbeat shows it running
	Stopping     bool         // it is to be stopped
	GracePeriod  units.Micros // for its checkpoint, if it is to be stopped

	earlier *Attempt // of the same task, with the next lower number, see LiveAttempts
}

// HasDuplicate reports whether the task has another live attempt.
func (a *Attempt) HasDuplicate() bool {
	return a.earlier != nil || a.Job.LiveAttempts[a.Index] != a
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.Index) }

func (a *Attempt) key() AttemptKey { return AttemptKey{a.Job.Spec.ID, a.Index, a.Number} }

// Assign places the next pending task of a job on a machine. It returns nil if the job has no
// pending task. If the job's records do not name the machine, it marks an urgent write: the
// start may be sent only once Job.MachineNameIsDurable returns true.
func (s *State) Assign(j *Job, m *Machine, number uint64, now units.Micros) *Attempt {
	i, ok := j.nextPendingTask()
	if !ok {
		return nil
	}
	if record := j.records.recordOf[m.ID]; record == nil || record.dirty && !record.machines[m.ID] {
		j.records.recordMachine(m.ID)
		j.MarkChanged(now, true)
	}
	j.waitingSince = now
	return s.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Assigned, AssignedAt: now})
}

// Adopt adds an attempt that a heartbeat listed and that this leader did not start. It adds
// even an unwanted attempt, because the task of an attempt that the state does not contain
// would be started a second time. Unwanted attempts of the task are marked to be stopped.
func (s *State) Adopt(j *Job, i int, number uint64, m *Machine, now units.Micros) *Attempt {
	if j.records.recordMachine(m.ID) {
		j.MarkChanged(now, false)
	}
	a := s.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Fetching, AssignedAt: now})
	s.StopUnwanted(j, i)
	return a
}

// StopUnwanted marks the unwanted attempts of a task to be stopped: all but the latest, or all
// of them if the task is done. A leader starts a task again only once every earlier attempt is
// known to be gone, so an earlier attempt that a heartbeat lists is obsolete.
func (s *State) StopUnwanted(j *Job, i int) {
	latest := j.LiveAttempts[i]
	for a := range j.LiveAttempts.Of(i) {
		if !a.Stopping && (a != latest || j.IsDone(i)) {
			s.StopAttempt(a, 0)
		}
	}
}

// attach adds an attempt to its job, its machine and the usage of machine and team.
func (s *State) attach(a *Attempt) *Attempt {
	if a.Job.LiveAttempts.add(a) && a.Job.IsDone(a.Index) {
		a.Job.doneAndLive++
	}
	a.Job.records.attempts[a.Machine.ID]++
	a.Machine.Attempts[a.key()] = a
	s.addUsage(a, 1, 0)
	return a
}

// StopAttempt marks an attempt to be stopped, with a grace period for its checkpoint. For an
// attempt that is already to be stopped it replaces the grace period.
func (s *State) StopAttempt(a *Attempt, grace units.Micros) {
	if !a.Stopping {
		a.Stopping = true
		s.addUsage(a, 0, 1)
	}
	a.GracePeriod = grace
}

// RemoveAttempt removes an attempt that is known to have left its machine. Once no attempt of
// the task is left, the task is pending again unless it is done. RemoveAttempt has no effect on
// an attempt that was already removed.
func (s *State) RemoveAttempt(a *Attempt, now units.Micros) {
	key := a.key()
	if a.Machine.Attempts[key] != a {
		return
	}
	delete(a.Machine.Attempts, key)
	a.Job.records.attemptGone(a.Machine.ID)
	if a.Job.LiveAttempts.remove(a) {
		a.Job.requeueTask(a.Index, now)
	}
	freeing := 0
	if a.Stopping {
		freeing = -1
	}
	s.addUsage(a, -1, freeing)
	if len(a.Machine.Attempts) == 0 {
		a.Machine.IdleSince = now
	}
}

// tokenShift is the number of low bits of an attempt's number that hold the leader's own
// count; the fencing token is in the bits above.
const tokenShift = 32

// NextAttempt returns a new attempt number, unique across leaders because it contains the
// leader's fencing token, which no other leader has.
func (s *State) NextAttempt(token uint64) uint64 {
	s.AttemptsStarted++
	return token<<tokenShift | s.AttemptsStarted
}
