package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newServiceLeader returns a leader of testJob, a service with the given number of replicas,
// its clock, and a fleet of four machines in two zones.
func newServiceLeader(t *testing.T, replicas int, spread bool) (*Leader, *fake.Clock, *serviceFleet) {
	t.Helper()
	clock := &fake.Clock{Now: 100 * units.Second}
	leader := newTestLeader(7, clock)
	leader.setFormat(storage.FormatV2)
	leader.persister.InstallRecords(nil, modelCatalog)
	spec := *fake.JobSpec(testJob)
	spec.Kind, spec.Tasks, spec.ZoneSpread, spec.Priority = protocol.Service, replicas, spread, protocol.Production
	leader.state.NewJob(spec, clock.Now, clock.Now)
	leader.commitWrites()
	fleet := &serviceFleet{t: t, leader: leader, clock: clock, machines: map[string]*protocol.Heartbeat{}}
	for i, zone := range []string{"a", "a", "b", "b"} {
		heartbeat := testHeartbeat(machineID(i), 1, 0, 7)
		heartbeat.Zone = zone
		fleet.machines[heartbeat.Machine] = heartbeat
	}
	return leader, clock, fleet
}

// serviceFleet simulates the workers on the machines of a service.
type serviceFleet struct {
	t        *testing.T
	leader   *Leader
	clock    *fake.Clock
	machines map[string]*protocol.Heartbeat // last heartbeat of each machine, by its ID
	started  int                            // replicas started so far
}

// exchangeAll has every machine send one heartbeat and carry out the commands in the response.
func (f *serviceFleet) exchangeAll() {
	f.t.Helper()
	f.clock.Now += units.Second
	for _, id := range sorted.Keys(f.machines) {
		heartbeat := f.machines[id]
		heartbeat.Sequence++
		for _, command := range f.leader.exchange(heartbeat) {
			f.execute(heartbeat, command)
		}
	}
}

// execute carries out a command on a machine. It fails the test if a replica starts while it
// runs elsewhere.
func (f *serviceFleet) execute(heartbeat *protocol.Heartbeat, command protocol.Command) {
	f.t.Helper()
	var tasks []protocol.TaskStatus
	for _, task := range heartbeat.Tasks {
		switch named := protocol.TaskName(task.Job, task.Index) == command.Task && task.Attempt == command.Attempt; {
		case named && command.Verb == protocol.VerbForget:
			continue
		case named && command.Verb == protocol.VerbStop && task.Stage != protocol.TaskExited:
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
		f.t.Fatal(err)
	}
	if on, _ := f.findReplica(job, index); on != "" {
		f.t.Fatalf("%s starts on %s while it is on %s", command.Task, heartbeat.Machine, on)
	}
	f.started++
	heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
		Job:     job,
		Index:   index,
		Attempt: command.Attempt,
		Stage:   protocol.TaskRunning,
	})
}

// findReplica returns the machine on which a replica runs and its status there; "" and nil if
// it does not run.
func (f *serviceFleet) findReplica(job string, index int) (machine string, task *protocol.TaskStatus) {
	for id, heartbeat := range f.machines {
		for i := range heartbeat.Tasks {
			if heartbeat.Tasks[i].Job == job && heartbeat.Tasks[i].Index == index && heartbeat.Tasks[i].Stage != protocol.TaskExited {
				return id, &heartbeat.Tasks[i]
			}
		}
	}
	return "", nil
}

// runningReplicas returns the number of running replicas.
func (f *serviceFleet) runningReplicas() int {
	n := 0
	for i := range f.leader.state.Jobs[testJob].Spec.Tasks {
		if on, _ := f.findReplica(testJob, i); on != "" {
			n++
		}
	}
	return n
}

// replicasByZone returns the number of running replicas by zone.
func (f *serviceFleet) replicasByZone() map[string]int {
	zones := map[string]int{}
	for _, heartbeat := range f.machines {
		for _, task := range heartbeat.Tasks {
			if task.Stage != protocol.TaskExited {
				zones[heartbeat.Zone]++
			}
		}
	}
	return zones
}

// exitReplica has a replica exit with the given cause, without a stop command.
func (f *serviceFleet) exitReplica(index int, cause protocol.ExitCause) {
	_, task := f.findReplica(testJob, index)
	task.Stage, task.Cause = protocol.TaskExited, cause
}
