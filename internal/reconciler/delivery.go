package reconciler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// recordSentCommand records the first command of a response, for checkDelivery.
func recordSentCommand(m *cluster.Machine, commands []protocol.Command, key cluster.AttemptKey) {
	if len(commands) == 1 {
		m.LastCommand = cluster.SentCommand{Pending: true, Verb: commands[0].Verb, Key: key}
	}
}

// checkDelivery determines from a newer heartbeat whether the last response with commands reached
// the machine. A worker carries out all commands of a response or none, so the first command is
// enough evidence. The agent incarnation is evidence, too: a machine that receives no response
// within its lease starts a new incarnation, so one that keeps its incarnation for longer has
// received a response.
func (rc *Reconciler) checkDelivery(m *cluster.Machine, heartbeat *protocol.Heartbeat, now units.Micros) {
	if m.UndeliveredCommands > 0 && heartbeat.Incarnation == m.Incarnation && now-m.UndeliveredAt > rc.Detector.WorkerLease() {
		rc.Log.Info("machine reachable again", "machine", m.ID)
		m.UndeliveredCommands = 0
	}
	if heartbeat.Incarnation != m.Incarnation {
		m.UndeliveredAt = now
	}
	if !m.LastCommand.Pending {
		return
	}
	m.LastCommand.Pending = false
	if lastCommandCarriedOut(m, heartbeat) && heartbeat.Incarnation == m.Incarnation {
		m.UndeliveredCommands = 0
		return
	}
	m.UndeliveredAt = now
	if m.UndeliveredCommands++; m.UndeliveredCommands == cluster.MaxUndeliveredCommands {
		key := m.LastCommand.Key
		rc.Log.Info("machine unresponsive to commands", "machine", m.ID, "task", protocol.TaskName(key.Job, key.Index),
			"attempt", key.Number, "verb", m.LastCommand.Verb)
	}
}

// lastCommandCarriedOut reports whether a heartbeat shows the effect of the command that
// recordSentCommand recorded.
func lastCommandCarriedOut(m *cluster.Machine, heartbeat *protocol.Heartbeat) bool {
	present, live := false, false
	for i := range heartbeat.Tasks {
		if task := &heartbeat.Tasks[i]; attemptKey(task) == m.LastCommand.Key {
			present, live = true, task.Stage == protocol.TaskFetching || task.Stage == protocol.TaskRunning
		}
	}
	switch m.LastCommand.Verb {
	case protocol.VerbStart:
		return present
	case protocol.VerbStop:
		return !live
	}
	return !present
}
