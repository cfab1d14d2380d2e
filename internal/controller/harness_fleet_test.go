package controller

import (
	"fmt"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newBusyLeader is a leader under a burst: full machines with 16 tasks each, and
// 300 jobs of up to 3,000 tasks that wait.
func newBusyLeader(machines int) (*Leader, []*protocol.Heartbeat) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(1, clock)
	types := []protocol.InstanceType{{
		Name:      "m",
		CPUs:      32,
		MemoryGB:  64,
		CacheGB:   50,
		Price:     1,
		SpotPrice: 1,
		BootS:     5,
		Zones:     []string{"a"},
	}}
	leader.persister.InstallRecords(nil, protocol.Catalog{Types: types})
	leader.state.Teams["team"].QuotaLimit = standin.CPUs(32 * machines * 2)
	const jobs = 300
	for i := range jobs {
		spec := *modelSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks, spec.Request, spec.Priority = 1+i*3000/jobs, standin.CPUs(2), protocol.Priority(i%3)
		leader.state.NewJob(spec, clock.Now, clock.Now)
	}
	for {
		s := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now)
		if s == nil {
			break
		}
		leader.state.BatchCommitted(s, 1)
	}
	heartbeats := make([]*protocol.Heartbeat, machines)
	for sequence := uint64(1); sequence <= 2; sequence++ {
		for i := range heartbeats {
			r := &protocol.Heartbeat{
				Machine:      fmt.Sprintf("i-%06d", i),
				InstanceType: "m",
				Zone:         "a",
				Incarnation:  1,
				Sequence:     sequence,
				FencingToken: 1,
			}
			m := leader.reconciler.Reconcile(r, clock.Now)
			for _, a := range m.SortedAttempts() {
				a.Stage = cluster.Running
				r.Tasks = append(r.Tasks, protocol.TaskStatus{
					Job:     a.Job.Spec.ID,
					Index:   a.Index,
					Attempt: a.Number,
					Stage:   protocol.TaskRunning,
				})
			}
			heartbeats[i] = r
		}
		for started := -1; started != int(leader.state.AttemptsStarted); {
			started = int(leader.state.AttemptsStarted)
			leader.scheduler.RunCycle(clock.Now, nil)
		}
	}
	return leader, heartbeats
}

// The largest fleet that is run, in machines. Nothing fixed may bind below it.
const largestFleet = 4000

// reconciledFleet is a leader with jobs on every machine of a fleet, and the reports of these.
func reconciledFleet(machines int) (*Leader, []*protocol.Heartbeat) {
	const perMachine, jobs = 4, 40
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(1, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	leader.state.UpgradeFormat(storage.FormatNew, clock.Now)
	leader.state.Teams["team"].QuotaLimit = standin.CPUs(perMachine * machines)
	var all []*cluster.Job
	for i := range jobs {
		spec := *modelSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks = machines * perMachine / jobs
		all = append(all, leader.state.NewJob(spec, clock.Now, clock.Now))
	}
	leader.commitWrites()
	heartbeats := make([]*protocol.Heartbeat, machines)
	for i := range heartbeats {
		heartbeats[i] = testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 1, 1)
		machine := leader.reconciler.Reconcile(heartbeats[i], clock.Now)
		for k := range perMachine {
			attempt := uint64(i*perMachine + k + 1)
			assigned := leader.state.Assign(all[int(attempt-1)%jobs], machine, attempt, clock.Now)
			heartbeats[i].Tasks = append(heartbeats[i].Tasks, protocol.TaskStatus{
				Job: assigned.Job.Spec.ID, Index: assigned.Index, Attempt: assigned.Number, Stage: protocol.TaskRunning,
			})
		}
	}
	return leader, heartbeats
}
