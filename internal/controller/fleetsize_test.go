package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/push"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// The largest fleet that is run, in machines. Nothing fixed may bind below it.
const largestFleet = 4000

// namedFleet is a leader with jobs on every machine of a fleet, and the reports of these.
func namedFleet(machines int) (*Leader, []*protocol.Heartbeat) {
	const perMachine, jobs = 4, 40
	clock := &standin.Clock{Now: units.Second}
	term := newTestLeader(1, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	term.state.UpgradeFormat(storage.FormatNew, clock.Now)
	term.state.Teams["team"].QuotaLimit = standin.CPUs(perMachine * machines)
	var all []*cluster.Job
	for i := range jobs {
		spec := *modelSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks = machines * perMachine / jobs
		all = append(all, term.state.NewJob(spec, clock.Now, clock.Now))
	}
	term.save()
	reports := make([]*protocol.Heartbeat, machines)
	for i := range reports {
		reports[i] = testHeartbeat(fmt.Sprintf("i-%06d", i), 1, 1, 1)
		machine := term.reconciler.Reconcile(reports[i], clock.Now)
		for k := range perMachine {
			number := uint64(i*perMachine + k + 1)
			a := term.state.Assign(all[int(number-1)%jobs], machine, number, clock.Now)
			reports[i].Tasks = append(reports[i].Tasks, protocol.TaskStatus{
				Job: a.Job.Spec.ID, Index: a.Index, Attempt: a.Number, Stage: protocol.TaskRunning,
			})
		}
	}
	return term, reports
}

// A fleet of 4,000 machines is kept in records of bounded size, all of it is unconfirmed
// after a change of leader, and one report of each machine settles that.
func TestLargestFleetIsRestored(t *testing.T) {
	term, reports := namedFleet(largestFleet)
	rows := saveAll(term)
	limit := term.Settings.Fleet.State.Both().ValueBytes()
	for _, row := range rows {
		if len(row.Value) > limit {
			t.Fatalf("record %s has %d bytes, %d are allowed", row.Key, len(row.Value), limit)
		}
	}
	later := newTestLeader(2, &standin.Clock{Now: units.Second})
	later.state.Teams["team"].QuotaLimit = term.state.Teams["team"].QuotaLimit
	jobs, _, err := cluster.ParseJobs(rows)
	if err != nil {
		t.Fatal(err)
	}
	later.persister.InstallRecords(jobs, modelCatalog)
	if n := later.state.Unreconciled.Len(); n != largestFleet {
		t.Fatalf("%d machines are unconfirmed after the restore", n)
	}
	for _, r := range reports {
		r.Sequence, r.FencingToken = r.Sequence+1, 2
		later.reconciler.Reconcile(r, units.Second)
	}
	live := 0
	for _, j := range later.state.Jobs {
		live += len(j.LiveAttempts)
	}
	if n := later.state.Unreconciled.Len(); n != 0 || live != 4*largestFleet {
		t.Errorf("%d machines are unconfirmed after their reports, %d tasks are known", n, live)
	}
}

// What is done for each machine in turn takes no longer on the largest fleet: where half
// of it hangs, telling it of the term takes as many tries one after the other as on the
// largest fleet before.
func TestLargestFleetIsBroadcastToAsSoon(t *testing.T) {
	const before, socketsEach = 768, 2
	turns := func(machines int) int {
		slots := push.BroadcastSlots(machines/2, socketsEach*machines)
		return (machines/2 + slots - 1) / slots
	}
	if small, large := turns(before), turns(largestFleet); large > small+2 {
		t.Errorf("%d machines take %d turns, %d take %d", before, small, largestFleet, large)
	}
	for _, sockets := range []int{100, 1200, 2 * largestFleet, 100_000} {
		if left := sockets - userSockets(sockets); sockets >= 400 && left < push.ReservedSockets(sockets) || userSockets(sockets) < sockets/2 {
			t.Errorf("of %d sockets %d are left beside users and workers", sockets, left)
		}
	}
	if kept := push.ReservedSockets(1200); kept != 64 {
		t.Errorf("%d sockets are kept on a deployment of 1,200", kept)
	}
}
