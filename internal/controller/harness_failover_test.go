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

// failoverFleet is a few workers, a key-value store, and leaders that follow each other. The
// test orders the messages; what must hold is checked on the workers themselves.
type failoverFleet struct {
	t       *testing.T
	store   *fake.KVServer
	leader  *Leader
	workers []*modelWorker
	cpus    map[string]int // that a task requests, by job
	log     bytes.Buffer   // of all leaders, at level info
}

// newFailoverFleet returns workers under a first leader, which has no jobs.
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
	f.lead(2)
	return f
}

// lead makes a new leader that has restored the records; the former one has ended.
func (f *failoverFleet) lead(token uint64) {
	f.t.Helper()
	f.leader = newStoredLeader(f.t, token, f.store, func(d *Deps) {
		d.Log = slog.New(slog.NewTextHandler(&f.log, nil))
	})
	if !f.leader.persister.Restore(f.t.Context()) {
		f.t.Fatal("the records are not restored")
	}
	f.leader.state.SetInstanceTypes(modelCatalog.Types)
}

// submit has the leader accept a job whose tasks run for long.
func (f *failoverFleet) submit(id string, tasks, cpus int) {
	spec := *fake.JobSpec(id)
	spec.Tasks, spec.Request, spec.Estimate = tasks, fake.CPUs(cpus), noticePeriod/2
	f.cpus[id] = cpus
	now := f.leader.Clock.Steady()
	f.leader.state.NewJob(spec, now, now)
	f.leader.commitNext(f.t.Context())
}

// passTime moves the leader's clock.
func (f *failoverFleet) passTime(d units.Micros) { f.leader.Clock.(*fake.Clock).Now += d }

// serve brings the leader a heartbeat and returns its answer.
func (f *failoverFleet) serve(heartbeat *protocol.Heartbeat) protocol.HeartbeatResponse {
	f.t.Helper()
	response, err := f.leader.Heartbeat(f.t.Context(), heartbeat, nil)
	if err != nil && !errors.Is(err, errStaleHeartbeat) {
		f.t.Fatal(err)
	}
	f.leader.commitNext(f.t.Context()) // starts that wait for it go with the next answer
	return response
}

// exchange has a worker send a heartbeat a second later and carry out the answer.
func (f *failoverFleet) exchange(worker *modelWorker) {
	f.t.Helper()
	f.passTime(units.Second)
	response := f.serve(worker.nextHeartbeat())
	worker.token = response.FencingToken
	for _, command := range response.Commands {
		worker.carryOut(command)
	}
	f.checkRules()
}

// exchangeUntil repeats exchange until a condition holds.
func (f *failoverFleet) exchangeUntil(worker *modelWorker, condition func() bool) {
	f.t.Helper()
	for range 10 {
		if condition() {
			return
		}
		f.exchange(worker)
	}
	f.t.Fatalf("not after ten heartbeats of %s: %v", worker.id, worker.tasks)
}

// checkRules checks that no task is on two workers and that the team is within its limit.
func (f *failoverFleet) checkRules() {
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
		f.t.Fatalf("the team uses %d of %d processors", used, modelQuotaCPUs)
	}
}

// noticePeriod is when a worker that shows a termination notice ends.
const noticePeriod = 600 * units.Second

// heartbeatWithNotice returns a heartbeat that shows a termination notice: the machine gets no
// more work, and its tasks end before.
func (w *modelWorker) heartbeatWithNotice() *protocol.Heartbeat {
	heartbeat := w.nextHeartbeat()
	heartbeat.TerminationNoticed, heartbeat.TerminationIn = true, noticePeriod
	return heartbeat
}

// broadcastTo has the leader broadcast its token until a worker has answered with the next
// heartbeat.
func (f *failoverFleet) broadcastTo(worker *modelWorker, next func() *protocol.Heartbeat) {
	f.t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		worker.token = f.leader.token
		_, _ = w.Write(encodeReachable(next()))
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
		f.t.Fatalf("%s has not answered the broadcast", worker.id)
	}
}
