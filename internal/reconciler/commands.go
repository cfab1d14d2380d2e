package reconciler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// PendingStartWrite returns a channel that is closed once the write that a start on the machine
// waits for is durable. It returns nil if no start waits for a write or if the machine has not
// shown the leader's fencing token.
func (rc *Reconciler) PendingStartWrite(m *cluster.Machine) <-chan struct{} {
	if m.FencingToken != rc.Token {
		return nil
	}
	for _, attempt := range m.Attempts {
		if attempt.Stage == cluster.Assigned && !attempt.Job.MachineNameIsDurable(m.ID) {
			return attempt.Job.Durable()
		}
	}
	return nil
}

// Commands returns the commands that bring the machine from the state in its heartbeat to the
// desired state. The result is never nil.
func (rc *Reconciler) Commands(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) []protocol.Command {
	commands := []protocol.Command{}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		key := attemptKey(task)
		if command, ok := rc.command(m.Attempts[key], task); ok {
			command.Task, command.Attempt = protocol.TaskName(task.Job, task.Index), task.Attempt
			commands = append(commands, command)
			recordSentCommand(m, commands, key)
			if command.Verb == protocol.VerbStop {
				rc.logStop(m.Attempts[key], task, m)
			}
		}
	}
	return rc.appendStarts(commands, m, heartbeat.Sequence, now)
}

// appendStarts appends the starts of the attempts that are assigned to a machine and may be sent
// now, and drops the assigned attempts that are no longer wanted. sequence is the sequence number
// of the heartbeat whose response carries the commands.
func (rc *Reconciler) appendStarts(commands []protocol.Command, m *cluster.Machine, sequence uint64, now units.Micros) []protocol.Command {
	for _, attempt := range assignedAttempts(m) {
		job := attempt.Job
		switch {
		case attempt.Stopping || job.Cancelled || job.IsDone(attempt.Index):
			rc.State.RemoveAttempt(attempt, now) // its start was never sent
			if job.Cancelled {
				job.MarkChanged(now, true)
				rc.WriteSignal.Raise()
			}
		case attempt.HasDuplicate():
			// A machine reported another attempt of the task after this one was assigned. The
			// task would run twice if it were started before the other attempt is gone.
			rc.Metrics.StartsHeld.Inc()
		case m.FencingToken == rc.Token && job.MachineNameIsDurable(m.ID) && len(commands) < protocol.MaxCommands:
			attempt.Stage, attempt.SentSequence = cluster.Sent, sequence
			commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: attempt.TaskName(), Attempt: attempt.Number})
			recordSentCommand(m, commands, cluster.AttemptKey{Job: job.Spec.ID, Index: attempt.Index, Number: attempt.Number})
			rc.logStart(attempt)
		}
	}
	return commands
}

// assignedAttempts returns the attempts on a machine whose start has not been sent, in the order
// of their assignment.
func assignedAttempts(m *cluster.Machine) []*cluster.Attempt {
	var assigned []*cluster.Attempt
	for _, attempt := range m.Attempts {
		if attempt.Stage == cluster.Assigned {
			assigned = append(assigned, attempt)
		}
	}
	slices.SortFunc(assigned, func(a, b *cluster.Attempt) int { return cmp.Compare(a.Number, b.Number) })
	return assigned
}

// command returns the command for a task that a machine reports, and whether a command is needed.
// attempt is nil if the state has no such attempt on the machine.
func (rc *Reconciler) command(attempt *cluster.Attempt, task *protocol.TaskStatus) (protocol.Command, bool) {
	switch {
	case task.Stage == protocol.TaskExited:
		return protocol.Command{Verb: protocol.VerbForget}, rc.mayForget(task)
	case attempt == nil, attempt.Job.Cancelled:
		return protocol.StopCommand("", 0, 0), true
	case attempt.Stopping && task.Stage != protocol.TaskCheckpointing:
		return protocol.StopCommand("", 0, attempt.GracePeriod), true
	}
	return protocol.Command{}, false
}

// mayForget reports whether a worker may forget a task that has ended. The worker must keep a
// completion until it is durable, so that a later leader can still learn of it.
func (rc *Reconciler) mayForget(task *protocol.TaskStatus) bool {
	job := rc.State.Jobs[task.Job]
	return job == nil || job.Cancelled || job.IsService() || task.Cause != protocol.CauseDone || job.DoneIsDurable(task.Index)
}
