package controller

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/config"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// While the leader refuses this node's links and renews its lease, workers are
// told its name and users are sent elsewhere. Once the record is stale nobody
// leads: then no name is told, and the node stays in use for the election.
func TestNodeThatTheLeaderRefuses(t *testing.T) {
	c, clock := newRefusedController(t, nil)
	for v := uint64(1); v <= 2; v++ {
		c.sawRenewal(v)
		if got := c.redirectTarget(); got != "leader" {
			t.Fatalf("workers are sent to %q", got)
		}
		if r := c.health(); r.Status != http.StatusOK {
			t.Fatalf("unhealthy after %d s", v)
		}
		clock.Now += units.Second
	}
	clock.Now += units.Second
	c.sawRenewal(3)
	if r := c.health(); r.Status != http.StatusServiceUnavailable {
		t.Error("a node that can pass nothing on counts as healthy")
	}
	clock.Now += c.elector.LeaseDuration()
	c.sawRenewal(3) // the record is read, and unchanged
	if got := c.redirectTarget(); got != "" {
		t.Errorf("workers are sent to %q, which does not renew", got)
	}
	if r := c.health(); r.Status != http.StatusOK {
		t.Error("a node is taken out in the middle of an election")
	}
}

// A node without the state service and all other controllers says so soon, and
// answers at once instead of asking the state service.
func TestNodeCutOffFromStateAndPeers(t *testing.T) {
	c, clock := newRefusedController(t, nil)
	clock.Now += c.elector.LeaseDuration() + units.Millisecond
	if r := c.health(); r.Status != http.StatusServiceUnavailable {
		t.Error("it counts as healthy")
	}
	startedAt := time.Now()
	if r := c.poll(t.Context(), "j-000001", true); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("poll: %d", r.Status)
	}
	if took := time.Since(startedAt); took > 500*time.Millisecond {
		t.Errorf("the user waited %v", took)
	}
}

// A node that has lost the state service still thinks that the former leader
// leads, itself perhaps. It learns of the present one from that one's answers
// to its pings, passes requests on to it and sends workers there.
func TestLeaderIsKnownWithoutTheStateService(t *testing.T) {
	mesh, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	go func() {
		_ = transport.ServeMesh(t.Context(), mesh, log, func(ctx context.Context, frame []byte) ([]byte, error) {
			return peers.AnswerFrame(ctx, frame, "next", func(context.Context, protocol.Frame) transport.Response {
				return answer.StateResponse(http.StatusOK, protocol.JobState{
					ID:    "j-000001",
					Stage: protocol.StagePending,
				})
			})
		})
	}()
	clock := &standin.Clock{Now: 100 * units.Second}
	store := modelSettings()
	store.Services.State = "127.0.0.1:1"
	store.Others = []config.Peer{{Node: "next", Endpoint: mesh.Addr().String()}}
	c := NewController(store, Environment{
		Policy: config.DefaultPolicy(),
		Clock:  clock,
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    log,
	})
	l := c.elector
	record := storage.LeaseRecord{Holder: store.Node, Incarnation: 3}
	l.ObserveRecord(record, 1)
	clock.Now += leaseRecordTTL + units.Millisecond
	go c.peers.Run(t.Context())
	for deadline := time.Now().Add(10 * time.Second); c.redirectTarget() != "next"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("workers are sent to %q", c.redirectTarget())
		}
	}
	if r := c.poll(t.Context(), "j-000001", true); r.Status != http.StatusOK {
		t.Errorf("poll: %d %s", r.Status, r.Body)
	}
	if r := c.health(); r.Status != http.StatusOK {
		t.Errorf("health: %s", r.Body)
	}
	l.ObserveRecord(record, 1)
	if got := c.leaderName(); got != store.Node {
		t.Errorf("the record was just read, and %q counts as the leader", got)
	}
}
