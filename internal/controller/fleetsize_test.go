package controller

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/push"
	"dunestand/internal/units"
)

// A fleet of 4,000 machines is kept in records of bounded size, all of it is unreconciled
// after a failover, and one heartbeat of each machine reconciles it.
func TestLargestFleetIsRestored(t *testing.T) {
	leader, heartbeats := newReconciledLeader(largestFleet)
	records := writeAllRecords(leader)
	limit := leader.Settings.Fleet.State.Lowest().ValueBytes()
	for _, record := range records {
		if len(record.Value) > limit {
			t.Fatalf("record %s has %d bytes, %d are allowed", record.Key, len(record.Value), limit)
		}
	}
	later := newTestLeader(2, &fake.Clock{Now: units.Second})
	later.state.Teams["team"].QuotaLimit = leader.state.Teams["team"].QuotaLimit
	jobs, _, err := cluster.ParseJobs(records)
	if err != nil {
		t.Fatal(err)
	}
	later.persister.InstallRecords(jobs, modelCatalog)
	if n := later.state.Unreconciled.Len(); n != largestFleet {
		t.Fatalf("%d machines are unreconciled after the restore", n)
	}
	for _, heartbeat := range heartbeats {
		heartbeat.Sequence, heartbeat.FencingToken = heartbeat.Sequence+1, 2
		later.reconciler.Reconcile(heartbeat, units.Second)
	}
	live := 0
	for _, job := range later.state.Jobs {
		live += len(job.LiveAttempts)
	}
	if n := later.state.Unreconciled.Len(); n != 0 || live != 4*largestFleet {
		t.Errorf("%d machines are unreconciled after their heartbeats, %d tasks are known", n, live)
	}
}

// What is done for one machine after the other takes no longer on the largest fleet: where
// half of it hangs, the broadcast of the token takes as many attempts in a row as on the
// largest fleet before.
func TestLargestFleetIsBroadcastToAsSoon(t *testing.T) {
	const before, socketsEach = 768, 2
	rounds := func(machines int) int {
		slots := push.BroadcastConcurrency(machines/2, socketsEach*machines)
		return (machines/2 + slots - 1) / slots
	}
	if small, large := rounds(before), rounds(largestFleet); large > small+2 {
		t.Errorf("%d machines take %d rounds, %d take %d", before, small, largestFleet, large)
	}
	for _, sockets := range []int{100, 1200, 2 * largestFleet, 100_000} {
		if left := sockets - clientConnectionLimit(sockets); sockets >= 400 && left < push.ReservedConnections(sockets) || clientConnectionLimit(sockets) < sockets/2 {
			t.Errorf("of %d sockets %d are left beside users and workers", sockets, left)
		}
	}
	if kept := push.ReservedConnections(1200); kept != 64 {
		t.Errorf("%d sockets are kept on a deployment of 1,200", kept)
	}
}
