package reconciler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// UnwrittenStart returns a channel to wait on when some start for the machine lacks
// the write that must come first, else nil. The channel is closed once the write is durable.
func (rc *Reconciler) UnwrittenStart(m *cluster.Machine) <-chan struct{} {
	if m.FencingToken != rc.Token {
		return nil
	}
	for _, attempt := range m.Attempts {
		if attempt.Stage == cluster.Assigned && !attempt.Job.MachineIsDurable(m.ID) {
			return attempt.Job.Durable()
		}
	}
	return nil
}

// Commands returns what the machine is to do: what is wanted of it minus
// what its heartbeat shows. It never returns nil.
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

// appendStarts appends the starts that a machine was assigned and that may be sent, and drops
// those that are not wanted any more. sequence is that of the heartbeat that is answered.
func (rc *Reconciler) appendStarts(commands []protocol.Command, m *cluster.Machine, sequence uint64, now units.Micros) []protocol.Command {
	for _, attempt := range assignedAttempts(m) {
		job := attempt.Job
		switch {
		case attempt.Stopping || job.Cancelled || job.IsDone(attempt.Index):
			rc.State.RemoveAttempt(attempt, now) // it was never sent
			if job.Cancelled {
				job.MarkChanged(now, true)
				rc.WriteSignal.Raise()
			}
		case attempt.HasRival():
			// A machine showed an earlier attempt after this one was assigned. The start
			// waits until that one is known to be gone.
			rc.Metrics.StartsHeld.Inc()
		case m.FencingToken == rc.Token && job.MachineIsDurable(m.ID) && len(commands) < protocol.MaxCommands:
			attempt.Stage, attempt.SentSequence = cluster.Sent, sequence
			commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: attempt.TaskName(), Attempt: attempt.Number})
			recordSentCommand(m, commands, cluster.AttemptKey{Job: job.Spec.ID, Index: attempt.Index, Number: attempt.Number})
			rc.logStart(attempt)
		}
	}
	return commands
}

// assignedAttempts returns the attempts on a machine whose start was not sent, in the order in
// which they were assigned.
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

// command returns what a machine is to do about a task that it reports, and whether there is
// anything to do. attempt is nil where the state does not have the task on the machine.
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

// mayForget reports whether a worker may forget a task that has ended. A completion that is
// not durable stays with the worker: a later leader must be able to learn of it.
func (rc *Reconciler) mayForget(task *protocol.TaskStatus) bool {
	job := rc.State.Jobs[task.Job]
	return job == nil || job.Cancelled || job.IsService() || task.Cause != protocol.CauseDone || job.DoneIsDurable(task.Index)
}
