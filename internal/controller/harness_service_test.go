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

// newServiceLeader returns a leader of testJob, a service of some replicas, and the workers of
// four machines in two zones.
func newServiceLeader(t *testing.T, replicas int, spread bool) (*Leader, *fake.Clock, *serviceFleet) {
	t.Helper()
	clock := &fake.Clock{Now: 100 * units.Second}
	leader := newTestLeader(7, clock)
	leader.setFormat(storage.FormatNew)
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

// serviceFleet is the workers of a service's machines.
type serviceFleet struct {
	t        *testing.T
	leader   *Leader
	clock    *fake.Clock
	machines map[string]*protocol.Heartbeat // last heartbeat of each machine, by its ID
	started  int                            // replicas started so far
}

// exchangeAll has every machine send one heartbeat and carry out its answer.
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

// execute carries a command out on a machine. A replica may not start while it runs elsewhere.
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
	if on, _ := f.where(job, index); on != "" {
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

// where returns the machine on which a replica runs, "" if none, and its status there.
func (f *serviceFleet) where(job string, index int) (machine string, task *protocol.TaskStatus) {
	for id, heartbeat := range f.machines {
		for i := range heartbeat.Tasks {
			if heartbeat.Tasks[i].Job == job && heartbeat.Tasks[i].Index == index && heartbeat.Tasks[i].Stage != protocol.TaskExited {
				return id, &heartbeat.Tasks[i]
			}
		}
	}
	return "", nil
}

// running returns how many replicas run.
func (f *serviceFleet) running() int {
	n := 0
	for i := range f.leader.state.Jobs[testJob].Spec.Tasks {
		if on, _ := f.where(testJob, i); on != "" {
			n++
		}
	}
	return n
}

// zones returns how many replicas run, by zone.
func (f *serviceFleet) zones() map[string]int {
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

// end has a replica exit by itself.
func (f *serviceFleet) end(index int, cause protocol.ExitCause) {
	_, task := f.where(testJob, index)
	task.Stage, task.Cause = protocol.TaskExited, cause
}
