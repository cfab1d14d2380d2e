package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

func TestHeartbeatsAreHandledOneAtATime(t *testing.T) {
	heartbeats := newHeartbeatLimiter()
	var inside, most atomic.Int64
	var wg sync.WaitGroup
	for range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slot := heartbeats.acquire(t.Context())
			defer slot.release()
			if n := inside.Add(1); n > most.Load() {
				most.Store(n)
			}
			time.Sleep(time.Millisecond)
			inside.Add(-1)
			slot.release() // and once more when the function returns
		}()
	}
	wg.Wait()
	if most.Load() != 1 {
		t.Errorf("%d were worked on at a time", most.Load())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	held := heartbeats.acquire(t.Context())
	if late := heartbeats.acquire(ctx); late != nil {
		t.Error("acquired while another one was worked on")
	}
	held.release()
}

// HalfSecondsToHeartbeat are worked on one at a time, but one that waits for a save, or for the
// restore, does not hold up the others.
func TestWaitingHeartbeatLetsOthersThrough(t *testing.T) {
	leader := newTestLeader(1, &standin.Clock{Now: units.Second})
	controller := newTestController(leader)
	send := func(machine string, sequence uint64) <-chan int {
		status := make(chan int, 1)
		body := encodeHeartbeat(&protocol.Heartbeat{
			Machine:      machine,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: 1,
		}, nil)
		go func() {
			status <- controller.handleHeartbeat(t.Context(), transport.Request{Body: body}).Status
		}()
		return status
	}
	beforeRestore := []<-chan int{send("i-1", 1), send("i-2", 1)}
	time.Sleep(20 * time.Millisecond) // both wait by now
	soon, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	other := controller.heartbeatLimiter.acquire(soon)
	if other == nil {
		t.Fatal("a report that waits for the restore holds up the others")
	}
	other.release()
	leader.persister.InstallRecords(nil, modelCatalog)
	for _, status := range beforeRestore {
		expectStatus(t, status, 200)
	}

	// i-1 gets a task whose save does not come.
	spec := *modelSpec("j-000001")
	spec.Tasks = 1
	job := leader.state.NewJob(spec, leader.Clock.Wall(), leader.Clock.Steady())
	accepted := leader.state.BuildWriteBatch("1-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, leader.Clock.Steady())
	leader.state.BatchCommitted(accepted, 1)
	leader.state.Assign(job, leader.state.Machines["i-1"], 1, leader.Clock.Steady())
	waiting := send("i-1", 2)
	time.Sleep(20 * time.Millisecond) // it waits by now
	expectStatus(t, send("i-2", 2), 200)
	select {
	case <-waiting:
		t.Fatal("a report that waits for a save holds up the others")
	default:
	}
	expectStatus(t, waiting, 200)
}

// expectStatus waits for a report's answer, for less than its worker would.
func expectStatus(t *testing.T, status <-chan int, want int) {
	t.Helper()
	select {
	case got := <-status:
		if got != want {
			t.Errorf("status %d, expected %d", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("a report is held up")
	}
}
