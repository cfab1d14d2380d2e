package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
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

// A report that shows nothing new, compared with the ledger and answered.
func BenchmarkHeartbeat(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			r := heartbeats[i%len(heartbeats)]
			r.Sequence += 10
			m := leader.reconciler.Reconcile(r, units.Second)
			_ = leader.reconciler.Commands(m, r, units.Second)
		}
	})
}

// The whole exchange of such a report over a kept connection: HTTP, echo and
// CBOR on both sides, the client's share included.
func BenchmarkExchange(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		c := newTestController(leader)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		go func() { _ = c.server.Serve(ctx, l) }()
		client := transport.NewClient(nil, l.Addr().String(), 1, protocol.MaxBody)
		bolts := map[string]protocol.Raw{}
		for i := 0; b.Loop(); i++ {
			r := heartbeats[i%len(heartbeats)]
			r.Sequence += 10
			if bolts[r.Machine] == nil {
				bolts[r.Machine] = encodeTasks(r)
			}
			status, _, err := client.Do(ctx, http.MethodPost, protocol.PathHeartbeat, encodeHeartbeat(r, bolts[r.Machine]), 5*units.Second)
			if err != nil || status != http.StatusOK {
				b.Fatal(status, err)
			}
		}
	})
}

// The end of a task is reported and the next one is placed in its stead.
func BenchmarkPlaceOnMachine(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		for i := 0; b.Loop(); i++ {
			m := leader.state.Machines[heartbeats[i%len(heartbeats)].Machine]
			leader.state.AttemptGone(m.SortedAttempts()[0], units.Second)
			leader.scheduler.PlaceOnMachine(m, units.Second)
		}
	})
}

func BenchmarkCycle(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			leader.scheduler.RunCycle(units.Second, nil)
		}
	})
}

func BenchmarkWriteBatch(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, _ []*protocol.Heartbeat) {
		for b.Loop() {
			writeAllRecords(leader)
		}
	})
}

// A restore reads every live job's record, and then each machine's report.
func BenchmarkRestore(b *testing.B) {
	perFleet(b, func(b *testing.B, leader *Leader, heartbeats []*protocol.Heartbeat) {
		rows := writeAllRecords(leader)
		for b.Loop() {
			later := newTestLeader(2, &standin.Clock{Now: units.Second})
			jobs, _, err := cluster.ParseJobs(rows)
			if err != nil {
				b.Fatal(err)
			}
			later.persister.InstallRecords(jobs, protocol.Catalog{})
			for _, r := range heartbeats {
				later.reconciler.Reconcile(r, units.Second)
			}
		}
	})
}
