package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// recordSentCommand notes the first command of an answer, for heard.
func recordSentCommand(m *cluster.Machine, out []protocol.Command, key cluster.AttemptKey) {
	if len(out) == 1 {
		m.LastCommand = cluster.SentCommand{Pending: true, Verb: string(out[0].Verb), Key: key}
	}
}

// checkDelivery works out from a newer report whether the last answer that commanded
// something reached the machine: all of an answer's commands are carried out,
// or none. A machine that was told nothing shows it by its session: without an
// answer within its lease it would have begun another one.
func (rc *Reconciler) checkDelivery(m *cluster.Machine, r *protocol.Heartbeat, now units.Micros) {
	if m.UndeliveredCommands > 0 && r.Incarnation == m.Incarnation && now-m.UndeliveredAt > rc.Detector.WorkerLease() {
		rc.Log.Info("machine hears again", "machine", m.ID)
		m.UndeliveredCommands = 0
	}
	if r.Incarnation != m.Incarnation {
		m.UndeliveredAt = now
	}
	if !m.LastCommand.Pending {
		return
	}
	there, live := false, false
	for i := range r.Tasks {
		if k := &r.Tasks[i]; k.Job == m.LastCommand.Key.Job && k.Index == m.LastCommand.Key.Index && k.Attempt == m.LastCommand.Key.Number {
			there, live = true, k.Stage == protocol.TaskFetching || k.Stage == protocol.TaskRunning
		}
	}
	carriedOut := !there
	switch protocol.Verb(m.LastCommand.Verb) {
	case protocol.VerbStart:
		carriedOut = there
	case protocol.VerbStop:
		carriedOut = !live
	}
	m.LastCommand.Pending = false
	if carriedOut && r.Incarnation == m.Incarnation {
		m.UndeliveredCommands = 0
		return
	}
	m.UndeliveredAt = now
	if m.UndeliveredCommands++; m.UndeliveredCommands == cluster.MaxUndeliveredCommands {
		rc.Log.Info("machine carries nothing out", "machine", m.ID, "task", protocol.TaskName(m.LastCommand.Key.Job, m.LastCommand.Key.Index),
			"attempt", m.LastCommand.Key.Number, "verb", m.LastCommand.Verb)
	}
}
