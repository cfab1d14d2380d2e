package controller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Unreachable machines do not delay the broadcast to machines that answer. With a third of a large
// fleet unreachable, each of these machines once occupied one of only four concurrent calls for
// 1.5 s.
func TestBroadcastReachesMachinesThatAnswer(t *testing.T) {
	hanging := listenHanging(t)
	leader, clock := newLeaderWithJob(t, 1)
	job := leader.state.Jobs[testJob]
	const answering = "i-000099"
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(encodeWithEndpoint(testHeartbeat(answering, 1, 1, leader.token)))
	}))
	t.Cleanup(worker.Close)
	addUnreconciled := func(id, endpoint string) {
		leader.state.EnsureMachine(id, "m", "a", true, clock.Now).Endpoint = endpoint
		leader.state.Unreconciled.Mark(job, id)
	}
	const hangingMachines = 32
	for i := range hangingMachines {
		addUnreconciled(machineID(i), hanging)
	}
	addUnreconciled(answering, worker.Listener.Addr().String())
	startLoop(t, leader.broadcaster.Run)
	reconciled := func() bool {
		leader.state.Lock()
		defer leader.state.Unlock()
		return !leader.state.Unreconciled.Contains(answering)
	}
	if !eventually(10*time.Second, reconciled) {
		t.Fatal("machine that answers not reconciled within 10 s")
	}
	leader.state.Lock()
	defer leader.state.Unlock()
	if got := leader.state.Unreconciled.Len(); got != hangingMachines {
		t.Errorf("%d machines are unreconciled, want the %d that hang", got, hangingMachines)
	}
}
