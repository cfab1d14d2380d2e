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

// perFleet runs a benchmark on fleets of growing size.
func perFleet(b *testing.B, run func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat)) {
	for _, machines := range []int{50, 200, 800, 1700, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			leader, heartbeats := newBusyLeader(machines)
			b.ReportAllocs()
			run(b, leader, heartbeats)
		})
	}
}

// BenchmarkHeartbeat reconciles and answers a heartbeat that shows nothing new.
func BenchmarkHeartbeat(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			heartbeat := heartbeats[i%len(heartbeats)]
			heartbeat.Sequence += 10
			machine := leader.reconciler.Reconcile(heartbeat, units.Second)
			_ = leader.reconciler.Commands(machine, heartbeat, units.Second)
		}
	})
}

// BenchmarkExchange is the whole exchange of such a heartbeat over a kept connection: HTTP,
// echo and CBOR on both sides, the client's share included.
func BenchmarkExchange(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		c := newTestController(leader)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		startLoop(b, func(ctx context.Context) { _ = c.server.Serve(ctx, listener) })
		client := transport.NewClient(nil, listener.Addr().String(), 1, protocol.MaxBodyBytes)
		tasks := map[string]protocol.Raw{} // encoded, by machine
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

// BenchmarkPlaceOnMachine ends a task and places the next one in its stead.
func BenchmarkPlaceOnMachine(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			machine := leader.state.Machines[heartbeats[i%len(heartbeats)].Machine]
			leader.state.RemoveAttempt(machine.SortedAttempts()[0], units.Second)
			leader.scheduler.PlaceOnMachine(machine, units.Second)
		}
	})
}

// BenchmarkCycle runs a whole scheduling cycle.
func BenchmarkCycle(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			leader.scheduler.RunCycle(units.Second, nil)
		}
	})
}

// BenchmarkWriteBatch writes the records of all jobs.
func BenchmarkWriteBatch(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			writeAllRecords(leader)
		}
	})
}

// BenchmarkRestore reads every live job's record, and then reconciles each machine's heartbeat.
func BenchmarkRestore(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
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

// encodeTasks returns a heartbeat's list of tasks as a worker sends it, all of them running.
// BenchmarkExchange encodes it once a machine, so that its figures are those of the server more
// than those of the client; protocol.EncodeHeartbeat encodes all anew each time.
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

// encodeHeartbeat returns a heartbeat as a worker sends it, with a list of tasks.
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
