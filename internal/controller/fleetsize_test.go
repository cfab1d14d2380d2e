package controller

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/push"
	"dunestand/internal/units"
)

// The records of a fleet of 4,000 machines stay within the size limit. After a failover all machines
// are unreconciled, and one heartbeat of each machine reconciles them.
func TestLargestFleetIsRestored(t *testing.T) {
	leader, heartbeats := newReconciledLeader(largestFleet)
	records := writeAllRecords(leader)
	limit := leader.Settings.Fleet.KVLimits.Lowest().ValueBytes()
	for _, record := range records {
		if len(record.Value) > limit {
			t.Fatalf("record %s has %d bytes, limit %d", record.Key, len(record.Value), limit)
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

// Concurrency grows with the fleet. When half of the machines hang, the broadcast of the fencing
// token to the largest fleet takes at most two more rounds of concurrent calls than to a fleet of 768
// machines, the largest supported before. Enough connections remain for the controller's own
// calls, and at least half of them for users and workers.
func TestBroadcastRoundsDoNotGrowWithTheFleet(t *testing.T) {
	const previousLargestFleet, connectionsPerMachine = 768, 2
	rounds := func(machines int) int {
		slots := push.BroadcastConcurrency(machines/2, connectionsPerMachine*machines)
		return (machines/2 + slots - 1) / slots
	}
	if small, large := rounds(previousLargestFleet), rounds(largestFleet); large > small+2 {
		t.Errorf("%d machines take %d rounds, %d take %d", previousLargestFleet, small, largestFleet, large)
	}
	for _, connections := range []int{100, 1200, 2 * largestFleet, 100_000} {
		if left := connections - clientConnectionLimit(connections); connections >= 400 && left < push.ReservedConnections(connections) || clientConnectionLimit(connections) < connections/2 {
			t.Errorf("of %d connections, %d are not for users and workers", connections, left)
		}
	}
	if reserved := push.ReservedConnections(1200); reserved != 64 {
		t.Errorf("%d connections reserved with a limit of 1,200", reserved)
	}
}
