package controller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Machines that are cut off or hang do not keep the one that would answer
// waiting: with a third of a large fleet gone, each in the queue once cost 1.5 s
// of one of four places.
func TestBroadcastReachesMachinesThatAnswer(t *testing.T) {
	hanging := listenHanging(t)
	leader, clock := newLeaderWithJob(t, 1)
	job := leader.state.Jobs[testJob]
	const last = "i-000099"
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(encodeWithEndpoint(testHeartbeat(last, 1, 1, leader.token)))
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
	addUnreconciled(last, worker.Listener.Addr().String())
	startLoop(t, leader.broadcaster.Run)
	reconciled := func() bool {
		leader.state.Lock()
		defer leader.state.Unlock()
		return !leader.state.Unreconciled.Contains(last)
	}
	if !eventually(10*time.Second, reconciled) {
		t.Fatal("the machine that answers was not reached")
	}
	leader.state.Lock()
	defer leader.state.Unlock()
	if got := leader.state.Unreconciled.Len(); got != hangingMachines {
		t.Errorf("%d machines are unreconciled, want the %d that hang", got, hangingMachines)
	}
}
