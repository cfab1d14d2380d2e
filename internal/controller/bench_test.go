package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// forEachFleetSize runs a benchmark for each of several fleet sizes.
func forEachFleetSize(b *testing.B, run func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat)) {
	for _, machines := range []int{50, 200, 800, 1700, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			leader, heartbeats := newBusyLeader(machines)
			b.ReportAllocs()
			run(b, leader, heartbeats)
		})
	}
}

// BenchmarkHeartbeat measures how a leader reconciles an unchanged heartbeat and determines the
// commands for its response.
func BenchmarkHeartbeat(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			heartbeat := heartbeats[i%len(heartbeats)]
			heartbeat.Sequence += 10
			machine := leader.reconciler.Reconcile(heartbeat, units.Second)
			_ = leader.reconciler.Commands(machine, heartbeat, units.Second)
		}
	})
}

// BenchmarkExchange measures the exchange of an unchanged heartbeat and its response over a
// persistent connection: HTTP, the echo framework and CBOR, including the client's share.
func BenchmarkExchange(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		c := newTestController(leader)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		startLoop(b, func(ctx context.Context) { _ = c.server.Serve(ctx, listener) })
		client := transport.NewClient(nil, listener.Addr().String(), 1, protocol.MaxBodyBytes)
		tasks := map[string]protocol.Raw{} // encoded task statuses, by machine ID
		for i := 0; b.Loop(); i++ {
			heartbeat := heartbeats[i%len(heartbeats)]
			heartbeat.Sequence += 10
			if tasks[heartbeat.Machine] == nil {
				tasks[heartbeat.Machine] = encodeTasks(heartbeat)
			}
			body := encodeHeartbeat(heartbeat, tasks[heartbeat.Machine])
			status, _, err := client.Do(b.Context(), http.MethodPost, protocol.PathHeartbeat, body, 5*units.Second)
			if err != nil || status != http.StatusOK {
				b.Fatal(status, err)
			}
		}
	})
}

// BenchmarkPlaceOnMachine measures the end of a task and the placement of another on its machine.
func BenchmarkPlaceOnMachine(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			machine := leader.state.Machines[heartbeats[i%len(heartbeats)].Machine]
			leader.state.RemoveAttempt(machine.SortedAttempts()[0], units.Second)
			leader.scheduler.PlaceOnMachine(machine, units.Second)
		}
	})
}

// BenchmarkCycle measures a scheduling cycle.
func BenchmarkCycle(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			leader.scheduler.RunCycle(units.Second, nil)
		}
	})
}

// BenchmarkWriteBatch measures the building of write batches with the records of all jobs.
func BenchmarkWriteBatch(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			writeAllRecords(leader)
		}
	})
}

// BenchmarkRestore measures a failover: the next leader parses the records of all live jobs and
// reconciles a heartbeat of each machine.
func BenchmarkRestore(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		records := writeAllRecords(leader)
		for b.Loop() {
			later := newTestLeader(2, &fake.Clock{Now: units.Second})
			jobs, _, err := cluster.ParseJobs(records)
			if err != nil {
				b.Fatal(err)
			}
			later.persister.InstallRecords(jobs, protocol.Catalog{})
			for _, heartbeat := range heartbeats {
				later.reconciler.Reconcile(heartbeat, units.Second)
			}
		}
	})
}

// encodeTasks returns the encoded task statuses of a heartbeat, with all tasks running.
// BenchmarkExchange encodes them once per machine, so that it measures the server rather than the
// client: protocol.EncodeHeartbeat would encode them for each heartbeat.
func encodeTasks(heartbeat *protocol.Heartbeat) protocol.Raw {
	tasks := make([]map[string]any, len(heartbeat.Tasks))
	for i, task := range heartbeat.Tasks {
		tasks[i] = map[string]any{
			"bolt":  protocol.TaskName(task.Job, task.Index),
			"try":   task.Attempt,
			"stage": "running",
		}
	}
	return protocol.Encode(tasks)
}

// encodeHeartbeat returns an encoded heartbeat with the given encoded task statuses.
func encodeHeartbeat(heartbeat *protocol.Heartbeat, tasks protocol.Raw) []byte {
	return protocol.Encode(map[string]any{
		"dune":     heartbeat.Machine,
		"endpoint": "10.1.0.1:9000",
		"loom":     heartbeat.InstanceType,
		"yard":     heartbeat.Zone,
		"borrowed": heartbeat.Spot,
		"shift":    heartbeat.Incarnation,
		"tally":    heartbeat.Sequence,
		"baton":    heartbeat.FencingToken,
		"recall_s": nil,
		"bolts":    tasks,
	})
}
