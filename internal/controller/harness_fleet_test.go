package controller

import (
	"fmt"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newBusyLeader returns a leader under a burst of load and the heartbeats of its machines. Each
// machine is full with 16 tasks; 300 jobs of up to 3,000 tasks are pending.
func newBusyLeader(machines int) (*Leader, []*protocol.Heartbeat) {
	clock := &fake.Clock{Now: units.Second}
	leader := newTestLeader(1, clock)
	types := []protocol.InstanceType{{
		Name:        "m",
		CPUs:        32,
		MemoryGB:    64,
		CacheGB:     50,
		Price:       1,
		SpotPrice:   1,
		BootSeconds: 5,
		Zones:       []string{"a"},
	}}
	leader.persister.InstallRecords(nil, protocol.Catalog{Types: types})
	leader.state.Teams["team"].QuotaLimit = fake.CPUs(32 * machines * 2)
	const jobs = 300
	for i := range jobs {
		spec := *fake.JobSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks, spec.Request, spec.Priority = 1+i*3000/jobs, fake.CPUs(2), protocol.Priority(i%3)
		leader.state.NewJob(spec, clock.Now, clock.Now)
	}
	leader.commitWrites()
	heartbeats := make([]*protocol.Heartbeat, machines)
	for sequence := uint64(1); sequence <= 2; sequence++ {
		for i := range heartbeats {
			heartbeat := testHeartbeat(machineID(i), 1, sequence, 1)
			heartbeat.Spot = false
			machine := leader.reconciler.Reconcile(heartbeat, clock.Now)
			for _, attempt := range machine.SortedAttempts() {
				attempt.Stage = cluster.Running
				heartbeat.Tasks = append(heartbeat.Tasks, runningStatus(attempt))
			}
			heartbeats[i] = heartbeat
		}
		for started := -1; started != int(leader.state.AttemptsStarted); {
			started = int(leader.state.AttemptsStarted)
			leader.scheduler.RunCycle(clock.Now, nil)
		}
	}
	return leader, heartbeats
}

// largestFleet is the largest supported fleet, in machines. No fixed limit may be reached at
// this size or below.
const largestFleet = 4000

// newReconciledLeader returns a leader with tasks on every machine of a fleet, and the
// heartbeats of the machines.
func newReconciledLeader(machines int) (*Leader, []*protocol.Heartbeat) {
	const perMachine, jobs = 4, 40
	leader, clock := newEmptyLeader(1, units.Second)
	leader.state.UpgradeFormat(storage.FormatNew, clock.Now)
	leader.state.Teams["team"].QuotaLimit = fake.CPUs(perMachine * machines)
	var running []*cluster.Job
	for i := range jobs {
		spec := *fake.JobSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks = machines * perMachine / jobs
		running = append(running, leader.state.NewJob(spec, clock.Now, clock.Now))
	}
	leader.commitWrites()
	heartbeats := make([]*protocol.Heartbeat, machines)
	for i := range heartbeats {
		heartbeats[i] = testHeartbeat(machineID(i), 1, 1, 1)
		machine := leader.reconciler.Reconcile(heartbeats[i], clock.Now)
		for k := range perMachine {
			number := i*perMachine + k
			attempt := leader.state.Assign(running[number%jobs], machine, uint64(number+1), clock.Now)
			heartbeats[i].Tasks = append(heartbeats[i].Tasks, runningStatus(attempt))
		}
	}
	return leader, heartbeats
}

// machineID returns the ID of the i-th machine of a fleet.
func machineID(i int) string { return fmt.Sprintf("i-%06d", i) }

// runningStatus returns the task status that a worker reports for a running attempt.
func runningStatus(attempt *cluster.Attempt) protocol.TaskStatus {
	return protocol.TaskStatus{
		Job:     attempt.Job.Spec.ID,
		Index:   attempt.Index,
		Attempt: attempt.Number,
		Stage:   protocol.TaskRunning,
	}
}
