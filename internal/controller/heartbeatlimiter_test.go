package controller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// The limiter admits one heartbeat at a time, and none whose context has ended.
func TestHeartbeatsAreHandledOneAtATime(t *testing.T) {
	limiter := newHeartbeatLimiter()
	var handling, most atomic.Int64
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			slot := limiter.acquire(t.Context())
			defer slot.release()
			if n := handling.Add(1); n > most.Load() {
				most.Store(n)
			}
			time.Sleep(time.Millisecond)
			handling.Add(-1)
			slot.release() // released again when the function returns, which has no effect
		})
	}
	wg.Wait()
	if most.Load() != 1 {
		t.Errorf("%d heartbeats were handled at a time", most.Load())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	held := limiter.acquire(t.Context())
	if late := limiter.acquire(ctx); late != nil {
		t.Error("slot acquired while another heartbeat was handled")
	}
	held.release()
}

// A heartbeat that waits for a write batch or for the restore does not block other heartbeats, though
// only one is handled at a time.
func TestWaitingHeartbeatDoesNotBlockOthers(t *testing.T) {
	leader := newTestLeader(1, &fake.Clock{Now: units.Second})
	controller := newTestController(leader)
	send := func(machine string, sequence uint64) <-chan int {
		status := make(chan int, 1)
		body := encodeWithEndpoint(testHeartbeat(machine, 1, sequence, 1))
		go func() {
			status <- controller.handleHeartbeat(t.Context(), transport.Request{Body: body}).Status
		}()
		return status
	}
	beforeRestore := []<-chan int{send("i-1", 1), send("i-2", 1)}
	time.Sleep(20 * time.Millisecond) // until both wait
	soon, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	other := controller.heartbeatLimiter.acquire(soon)
	if other == nil {
		t.Fatal("a heartbeat that waits for the restore blocks the others")
	}
	other.release()
	leader.persister.InstallRecords(nil, modelCatalog)
	for _, status := range beforeRestore {
		expectStatus(t, status, http.StatusOK)
	}

	// i-1 gets a task whose write batch is not committed.
	spec := *fake.JobSpec(testJob)
	spec.Tasks = 1
	job := leader.state.NewJob(spec, leader.Clock.Wall(), leader.Clock.Steady())
	leader.commitWrites()
	leader.state.Assign(job, leader.state.Machines["i-1"], 1, leader.Clock.Steady())
	waiting := send("i-1", 2)
	time.Sleep(20 * time.Millisecond) // until it waits
	expectStatus(t, send("i-2", 2), http.StatusOK)
	select {
	case <-waiting:
		t.Fatal("a heartbeat that waits for a write batch blocks the others")
	default:
	}
	expectStatus(t, waiting, 200)
}

// expectStatus waits for the status of a heartbeat's response, for less than the worker's timeout.
func expectStatus(t *testing.T, status <-chan int, want int) {
	t.Helper()
	select {
	case got := <-status:
		if got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("no response to a heartbeat within 3 s")
	}
}
