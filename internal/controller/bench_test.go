package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/transport"
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

// newTestController is a node that leads a term, without a state service or a cloud.
func newTestController(leader *Leader) *Controller {
	s := modelSettings()
	s.Services.State, s.Services.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	c := NewController(s, Environment{
		Policy: leader.Policy,
		Clock:  leader.Clock,
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    leader.Log,
	})
	c.leader.Store(leader)
	return c
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

// encodeTasks is a report's list of tasks as a worker sends it.
func encodeTasks(r *protocol.Heartbeat) protocol.Raw {
	bolts := make([]map[string]any, len(r.Tasks))
	for i, k := range r.Tasks {
		bolts[i] = map[string]any{
			"bolt":  protocol.TaskName(k.Job, k.Index),
			"try":   k.Attempt,
			"stage": "running",
		}
	}
	return protocol.Encode(bolts)
}

// encodeHeartbeat is a report as a worker sends it.
func encodeHeartbeat(r *protocol.Heartbeat, bolts protocol.Raw) []byte {
	return protocol.Encode(map[string]any{
		"dune":     r.Machine,
		"endpoint": "10.1.0.1:9000",
		"loom":     r.InstanceType,
		"yard":     r.Zone,
		"borrowed": r.Spot,
		"shift":    r.Incarnation,
		"tally":    r.Sequence,
		"baton":    r.FencingToken,
		"recall_s": nil,
		"bolts":    bolts,
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

// writeAllRecords saves every job and gives the records.
func writeAllRecords(leader *Leader) []protocol.Item {
	var rows []protocol.Item
	for _, j := range leader.state.Jobs {
		j.MarkChanged(units.Second, true)
	}
	for {
		s := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, units.Second)
		if s == nil {
			return rows
		}
		for _, c := range s.Txn.Then {
			rows = append(rows, protocol.Item{Key: c.Set, Value: c.Value, Version: 1})
		}
		leader.state.BatchCommitted(s, 1)
	}
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
