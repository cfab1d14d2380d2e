package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Machines that are cut off or hang do not keep the one that would answer
// waiting: with a third of a large fleet gone, each in the queue once cost 1.5 s
// of one of four places.
func TestBroadcastReachesMachinesThatAnswer(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // accepts nothing: requests wait
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	term, clock := leaderWithJob(t, 1)
	j := term.state.Jobs["j-000001"]
	const last = "i-000099"
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(encodeHeartbeat(testHeartbeat(last, 1, 1, term.token), nil))
	}))
	defer worker.Close()
	unconfirm := func(id, endpoint string) {
		term.state.EnsureMachine(id, "m", "a", true, clock.Now).Endpoint = endpoint
		term.state.Unreconciled.Mark(j, id)
	}
	for i := range 32 {
		unconfirm(fmt.Sprintf("i-%06d", i), hanging.Addr().String())
	}
	unconfirm(last, worker.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		term.broadcaster.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	confirmed := func() bool {
		term.state.Lock()
		defer term.state.Unlock()
		return !term.state.Unreconciled.Contains(last)
	}
	for deadline := time.Now().Add(10 * time.Second); !confirmed(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the machine that answers was not told")
		}
	}
}
