package reconciler

import (
	"sort"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// recordSentCommand notes the first command of an answer, for heard.
func recordSentCommand(m *cluster.Machine, out []protocol.Command, key cluster.AttemptKey) {
	if len(out) == 1 {
		m.LastCommand = cluster.SentCommand{Pending: true, Verb: out[0].Verb, Key: key}
	}
}

// UnwrittenStart gives a channel to wait on when some start for the machine lacks
// the save that must come first.
func (rc *Reconciler) UnwrittenStart(m *cluster.Machine) <-chan struct{} {
	if m.FencingToken != rc.Token {
		return nil
	}
	for _, a := range m.Attempts {
		if a.Stage == cluster.Assigned && !a.Job.MachineIsDurable(m.ID) {
			return a.Job.Durable()
		}
	}
	return nil
}

// Commands works out what the machine is to do: what is wanted of it minus
// what its report shows.
func (rc *Reconciler) Commands(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) []protocol.Command {
	out := []protocol.Command{}
	for i := range r.Tasks {
		task := &r.Tasks[i]
		key := cluster.AttemptKey{Job: task.Job, Index: task.Index, Number: task.Attempt}
		if c, ok := rc.command(m.Attempts[key], task); ok {
			c.Task, c.Attempt = protocol.TaskName(task.Job, task.Index), task.Attempt
			out = append(out, c)
			recordSentCommand(m, out, key)
		}
	}
	var starts []*cluster.Attempt
	for _, a := range m.Attempts {
		if a.Stage == cluster.Assigned {
			starts = append(starts, a)
		}
	}
	sort.Slice(starts, func(i, k int) bool { return starts[i].Number < starts[k].Number })
	for _, a := range starts {
		switch {
		case a.Stopping || a.Job.Cancelled || a.Job.IsDone(a.Index):
			rc.State.AttemptGone(a, now) // it was never sent
			if a.Job.Cancelled {
				a.Job.MarkChanged(now, true)
				rc.WriteSignal.Raise()
			}
		case m.FencingToken == rc.Token && a.Job.MachineIsDurable(m.ID) && len(out) < protocol.MaxCommands:
			a.Stage, a.SentSequence = cluster.Sent, r.Sequence
			out = append(out, protocol.Command{Verb: protocol.VerbStart, Task: a.TaskName(), Attempt: a.Number})
			recordSentCommand(m, out, cluster.AttemptKey{Job: a.Job.Spec.ID, Index: a.Index, Number: a.Number})
			rc.Tracer.Trace("start sent", a)
		}
	}
	return out
}

// command works out what a machine is to do about a task that it reports, if anything.
func (rc *Reconciler) command(a *cluster.Attempt, task *protocol.TaskStatus) (protocol.Command, bool) {
	switch {
	case task.Stage == protocol.TaskExited:
		// A completion that is not durable stays with the worker: a later
		// leader must be able to learn of it.
		j := rc.State.Jobs[task.Job]
		forget := j == nil || j.Cancelled || j.IsService() || task.Cause != protocol.CauseDone || j.DoneIsDurable(task.Index)
		return protocol.Command{Verb: protocol.VerbForget}, forget
	case a == nil, a.Job.Cancelled:
		return protocol.StopCommand("", 0, 0), true
	case a.Stopping && task.Stage != protocol.TaskCheckpointing:
		return protocol.StopCommand("", 0, a.GracePeriod), true
	}
	return protocol.Command{}, false
}
