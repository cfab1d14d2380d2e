package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// failoverFleet consists of a few workers, a key-value store and successive leaders. The test
// decides the order of the messages; the invariants are checked on the workers.
type failoverFleet struct {
	t       *testing.T
	store   *fake.KVServer
	leader  *Leader
	workers []*modelWorker
	cpus    map[string]int // requested by each task, by job ID
	log     bytes.Buffer   // log of all leaders, at level info
}

// newFailoverFleet returns a fleet of workers with a first leader that has no jobs.
func newFailoverFleet(t *testing.T, workers int) *failoverFleet {
	f := &failoverFleet{t: t, store: fake.NewKVServer(), cpus: map[string]int{}}
	for i := range workers {
		f.workers = append(f.workers, &modelWorker{
			id:          machineID(i),
			alive:       true,
			incarnation: 1,
			tasks:       map[taskKey]modelTask{},
		})
	}
	f.startLeader(2)
	return f
}

// startLeader replaces the leader with a new one that has restored the records.
func (f *failoverFleet) startLeader(token uint64) {
	f.t.Helper()
	f.leader = newLeaderWithStore(f.t, token, f.store, func(d *Deps) {
		d.Log = slog.New(slog.NewTextHandler(&f.log, nil))
	})
	if !f.leader.persister.Restore(f.t.Context()) {
		f.t.Fatal("records not restored")
	}
	f.leader.state.SetInstanceTypes(modelCatalog.Types)
}

// submit has the leader accept a job with long-running tasks.
func (f *failoverFleet) submit(id string, tasks, cpus int) {
	spec := *fake.JobSpec(id)
	spec.Tasks, spec.Request, spec.Estimate = tasks, fake.CPUs(cpus), noticePeriod/2
	f.cpus[id] = cpus
	now := f.leader.Clock.Steady()
	f.leader.state.NewJob(spec, now, now)
	f.leader.commitNext(f.t.Context())
}

// advanceClock advances the leader's clock by d.
func (f *failoverFleet) advanceClock(d units.Micros) { f.leader.Clock.(*fake.Clock).Now += d }

// deliverHeartbeat delivers a heartbeat to the leader and returns the response.
func (f *failoverFleet) deliverHeartbeat(heartbeat *protocol.Heartbeat) protocol.HeartbeatResponse {
	f.t.Helper()
	response, err := f.leader.Heartbeat(f.t.Context(), heartbeat, nil)
	if err != nil && !errors.Is(err, errStaleHeartbeat) {
		f.t.Fatal(err)
	}
	f.leader.commitNext(f.t.Context()) // start commands that depend on this write are in the next response
	return response
}

// exchange has a worker send a heartbeat one second later and carry out the commands in the
// response.
func (f *failoverFleet) exchange(worker *modelWorker) {
	f.t.Helper()
	f.advanceClock(units.Second)
	response := f.deliverHeartbeat(worker.nextHeartbeat())
	worker.token = response.FencingToken
	for _, command := range response.Commands {
		worker.carryOut(command)
	}
	f.checkInvariants()
}

// exchangeUntil repeats exchange until condition holds, for ten heartbeats at most.
func (f *failoverFleet) exchangeUntil(worker *modelWorker, condition func() bool) {
	f.t.Helper()
	for range 10 {
		if condition() {
			return
		}
		f.exchange(worker)
	}
	f.t.Fatalf("condition does not hold after ten heartbeats of %s: tasks %v", worker.id, worker.tasks)
}

// checkInvariants checks that each task is on one worker at most and that the team is within
// its quota limit.
func (f *failoverFleet) checkInvariants() {
	f.t.Helper()
	on, used := map[taskKey]string{}, 0
	for _, worker := range f.workers {
		for key := range worker.tasks {
			if !worker.holds(key) {
				continue
			}
			if other := on[key]; other != "" {
				f.t.Fatalf("%s and %s both hold %s", other, worker.id, protocol.TaskName(key.job, key.index))
			}
			on[key] = worker.id
			used += f.cpus[key.job]
		}
	}
	if used > modelQuotaCPUs {
		f.t.Fatalf("team uses %d CPUs, quota limit is %d", used, modelQuotaCPUs)
	}
}

// noticePeriod is the time from a termination notice until the machine terminates.
const noticePeriod = 600 * units.Second

// heartbeatWithNotice returns a heartbeat with a termination notice: the machine gets no more
// work, and its tasks end before it terminates.
func (w *modelWorker) heartbeatWithNotice() *protocol.Heartbeat {
	heartbeat := w.nextHeartbeat()
	heartbeat.TerminationNoticed, heartbeat.TerminationIn = true, noticePeriod
	return heartbeat
}

// broadcastTo has the leader broadcast its fencing token until a worker has answered with the
// heartbeat that next returns.
func (f *failoverFleet) broadcastTo(worker *modelWorker, next func() *protocol.Heartbeat) {
	f.t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		worker.token = f.leader.token
		_, _ = w.Write(encodeWithEndpoint(next()))
	}))
	defer endpoint.Close()
	state := f.leader.state
	state.EnsureMachine(worker.id, "m", "a", true, f.leader.Clock.Steady()).Endpoint = endpoint.Listener.Addr().String()
	ctx, cancel := context.WithCancel(f.t.Context())
	var broadcast sync.WaitGroup
	broadcast.Go(func() { f.leader.broadcaster.Run(ctx) })
	reconciled := func() bool {
		state.Lock()
		defer state.Unlock()
		return !state.Unreconciled.Contains(worker.id)
	}
	answered := eventually(10*time.Second, reconciled)
	cancel()
	broadcast.Wait()
	if !answered {
		f.t.Fatalf("broadcast to %s not answered within 10 s", worker.id)
	}
}
