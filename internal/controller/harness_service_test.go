package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newServiceLeader is a leader of a service of some replicas, and machines in two
// zones that have reported.
func newServiceLeader(t *testing.T, replicas int, spread bool) (*Leader, *standin.Clock, *serviceFleet) {
	t.Helper()
	clock := &standin.Clock{Now: 100 * units.Second}
	leader := newTestLeader(7, clock)
	leader.setFormat(storage.FormatNew)
	leader.persister.InstallRecords(nil, modelCatalog)
	spec := *modelSpec("j-000001")
	spec.Kind, spec.Tasks, spec.ZoneSpread, spec.Priority = protocol.Service, replicas, spread, protocol.Production
	leader.state.NewJob(spec, clock.Now, clock.Now)
	leader.commitWrites()
	fleet := &serviceFleet{t: t, leader: leader, clock: clock, machines: map[string]*protocol.Heartbeat{}}
	for i, zone := range []string{"a", "a", "b", "b"} {
		heartbeat := testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 0, 7)
		heartbeat.Zone = zone
		fleet.machines[heartbeat.Machine] = heartbeat
	}
	return leader, clock, fleet
}

// serviceFleet is machines as the leader hears of them.
type serviceFleet struct {
	t        *testing.T
	leader   *Leader
	clock    *standin.Clock
	machines map[string]*protocol.Heartbeat
	started  int
}

// exchangeAll has every machine send one heartbeat and carry out its answer.
func (fleet *serviceFleet) exchangeAll() {
	fleet.t.Helper()
	fleet.clock.Now += units.Second
	for _, id := range sorted.Keys(fleet.machines) {
		heartbeat := fleet.machines[id]
		heartbeat.Sequence++
		for _, command := range fleet.leader.exchange(heartbeat) {
			fleet.execute(heartbeat, command)
		}
	}
}

func (fleet *serviceFleet) execute(heartbeat *protocol.Heartbeat, command protocol.Command) {
	fleet.t.Helper()
	var tasks []protocol.TaskStatus
	for _, task := range heartbeat.Tasks {
		switch mine := protocol.TaskName(task.Job, task.Index) == command.Task && task.Attempt == command.Attempt; {
		case mine && command.Verb == protocol.VerbForget:
			continue
		case mine && command.Verb == protocol.VerbStop && task.Stage != protocol.TaskExited:
			task.Stage, task.Cause = protocol.TaskExited, protocol.CauseStopped
		}
		tasks = append(tasks, task)
	}
	heartbeat.Tasks = tasks
	if command.Verb != protocol.VerbStart {
		return
	}
	var job string
	var index int
	if _, err := fmt.Sscanf(command.Task, "%8s/%d", &job, &index); err != nil {
		fleet.t.Fatal(err)
	}
	if on, _ := fleet.where(job, index); on != "" {
		fleet.t.Fatalf("%s starts on %s while it is on %s", command.Task, heartbeat.Machine, on)
	}
	fleet.started++
	heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
		Job:     job,
		Index:   index,
		Attempt: command.Attempt,
		Stage:   protocol.TaskRunning,
	})
}

// where tells on which machine a replica runs.
func (fleet *serviceFleet) where(job string, index int) (machine string, task *protocol.TaskStatus) {
	for id, heartbeat := range fleet.machines {
		for i := range heartbeat.Tasks {
			if heartbeat.Tasks[i].Job == job && heartbeat.Tasks[i].Index == index && heartbeat.Tasks[i].Stage != protocol.TaskExited {
				return id, &heartbeat.Tasks[i]
			}
		}
	}
	return "", nil
}

func (fleet *serviceFleet) running() int {
	n := 0
	for i := range fleet.leader.state.Jobs["j-000001"].Spec.Tasks {
		if on, _ := fleet.where("j-000001", i); on != "" {
			n++
		}
	}
	return n
}

func (fleet *serviceFleet) zones() map[string]int {
	zones := map[string]int{}
	for _, heartbeat := range fleet.machines {
		for _, task := range heartbeat.Tasks {
			if task.Stage != protocol.TaskExited {
				zones[heartbeat.Zone]++
			}
		}
	}
	return zones
}

// end has a replica end by itself.
func (fleet *serviceFleet) end(index int, cause protocol.ExitCause) {
	_, task := fleet.where("j-000001", index)
	task.Stage, task.Cause = protocol.TaskExited, cause
}
