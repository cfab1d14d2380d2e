package cluster

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// AttemptStage is the progress of an attempt as far as the leader knows.
type AttemptStage uint8

// The stages of an attempt. The start of an attempt in the stage Sent may or may not have
// reached its machine; only a later heartbeat shows which.
const (
	Assigned AttemptStage = iota
	Sent
	Fetching
	Running
	Checkpointing
)

// String returns the stage's name for logs and test failures.
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

// Attempt is one try of a task on a machine. It counts against the machine's capacity and
// the team's quota limit from its assignment until it is known to be gone.
type Attempt struct {
	Job     *Job
	Index   int    // of the task in the job
	Number  uint64 // unique among all leaders, see State.NextAttempt
	Machine *Machine
	Stage   AttemptStage

	SentSequence uint64       // the heartbeat whose response carried the start
	SeenSequence uint64       // the last heartbeat that listed the attempt
	AssignedAt   units.Micros // steady time
	RunningSince units.Micros // steady time, 0 until it was seen running
	Stopping     bool         // it is to be stopped
	GracePeriod  units.Micros // for its checkpoint, once it is to be stopped

	earlier *Attempt // of the same task, see LiveAttempts
}

// HasRival reports whether another attempt of the same task may be on a machine.
func (a *Attempt) HasRival() bool {
	return a.earlier != nil || a.Job.LiveAttempts[a.Index] != a
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.Index) }

func (a *Attempt) key() AttemptKey { return AttemptKey{a.Job.Spec.ID, a.Index, a.Number} }

// Assign places the next pending task of a job on a machine. It returns nil if the job has no
// pending task. If the machine is not yet in the job's records, an urgent write becomes due:
// the start may be sent only once Job.MachineIsDurable.
func (s *State) Assign(j *Job, m *Machine, number uint64, now units.Micros) *Attempt {
	i, ok := j.nextPendingTask()
	if !ok {
		return nil
	}
	if c := j.records.shardOf[m.ID]; c == nil || c.dirty && !c.machines[m.ID] {
		j.records.recordMachine(m.ID)
		j.MarkChanged(now, true)
	}
	return s.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Assigned, AssignedAt: now})
}

// Adopt adds an attempt that a machine listed in a heartbeat and that this leader did not
// start. It is added whether it is wanted or not, since what may be on a machine counts: an
// attempt left out is on no machine that the leader knows, and its task starts once more. One
// that is not wanted is to be stopped.
func (s *State) Adopt(j *Job, i int, number uint64, m *Machine, now units.Micros) *Attempt {
	if j.records.recordMachine(m.ID) {
		j.MarkChanged(now, false)
	}
	a := s.attach(&Attempt{Job: j, Index: i, Number: number, Machine: m, Stage: Fetching, AssignedAt: now})
	s.StopUnwanted(j, i)
	return a
}

// StopUnwanted stops the attempts of a task that are not wanted: all but the latest, or all of
// them if the task is done. A leader starts a task again only once every earlier attempt is
// known to be gone, so an earlier one that a heartbeat shows is over, or must be.
func (s *State) StopUnwanted(j *Job, i int) {
	latest := j.LiveAttempts[i]
	for a := range j.LiveAttempts.Of(i) {
		if !a.Stopping && (a != latest || j.IsDone(i)) {
			s.StopAttempt(a, 0)
		}
	}
}

func (s *State) attach(a *Attempt) *Attempt {
	if a.Job.LiveAttempts.add(a) && a.Job.IsDone(a.Index) {
		a.Job.doneAndLive++
	}
	a.Job.records.attempts[a.Machine.ID]++
	a.Machine.Attempts[a.key()] = a
	s.addUsage(a, 1, 0)
	return a
}

// StopAttempt notes that an attempt is to be stopped, with a grace period for its checkpoint.
func (s *State) StopAttempt(a *Attempt, grace units.Micros) {
	if !a.Stopping {
		a.Stopping = true
		s.addUsage(a, 0, 1)
	}
	a.GracePeriod = grace
}

// AttemptGone removes an attempt that is certainly not on its machine any more. The task is
// pending again once no attempt of it is left, unless it is done. An attempt that was removed
// before is left alone.
func (s *State) AttemptGone(a *Attempt, now units.Micros) {
	key := a.key()
	if a.Machine.Attempts[key] != a {
		return
	}
	delete(a.Machine.Attempts, key)
	a.Job.records.attemptGone(a.Machine.ID)
	if a.Job.LiveAttempts.remove(a) {
		a.Job.taskOffMachines(a.Index)
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

// tokenShift leaves the lower half of an attempt's number to a leader's own count.
const tokenShift = 32

// NextAttempt returns a number for an attempt that no leader has used before: the fencing
// token is in it, and no two leaders have the same one.
func (s *State) NextAttempt(token uint64) uint64 {
	s.AttemptsStarted++
	return token<<tokenShift | s.AttemptsStarted
}
