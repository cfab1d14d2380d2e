package coordination

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// refusedController is a node whose only peer, which leads, refuses its links,
// and whose state service does not answer.
func refusedController(t *testing.T) (*Controller, *manualClock) {
	t.Helper()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	closed.Close()
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // accepts nothing: requests wait
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hanging.Close() })
	clock := &manualClock{now: 100 * units.Second}
	s := modelSettings()
	s.Services.State = hanging.Addr().String()
	s.Others = []config.Peer{{Node: "leader", Endpoint: addr}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := NewController(s, config.DefaultPolicy(), clock, rand.New(rand.NewPCG(1, 1)), log)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go c.peers.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); !c.peers.Refused("leader"); {
		if time.Now().After(deadline) {
			t.Fatal("the link is not refused")
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.lastUseful.Store(int64(clock.now))
	return c, clock
}

// sawRenewal is a read of the record that shows a new version.
func (c *Controller) sawRenewal(version uint64, now units.Micros) {
	l := c.deps.Lease
	l.answeredAt = now
	l.watch.saw(bookkeeping.Lease{Holder: "leader", Incarnation: 3}, version, now)
}

// While the leader refuses this node's links and renews its lease, workers are
// told its name and users are sent elsewhere. Once the record is stale nobody
// leads: then no name is told, and the node stays in use for the election.
func TestNodeThatTheLeaderRefuses(t *testing.T) {
	c, clock := refusedController(t)
	for v := uint64(1); v <= 2; v++ {
		c.sawRenewal(v, clock.now)
		if got := c.whoLeads(); got != "leader" {
			t.Fatalf("workers are sent to %q", got)
		}
		if r := c.health(); r.Status != http.StatusOK {
			t.Fatalf("unhealthy after %d s", v)
		}
		clock.now += units.Second
	}
	clock.now += units.Second
	c.sawRenewal(3, clock.now)
	if r := c.health(); r.Status != http.StatusServiceUnavailable {
		t.Error("a node that can pass nothing on counts as healthy")
	}
	clock.now += c.deps.Lease.timing.Length
	c.deps.Lease.answeredAt = clock.now // the record is read, and unchanged
	if got := c.whoLeads(); got != "" {
		t.Errorf("workers are sent to %q, which does not renew", got)
	}
	if r := c.health(); r.Status != http.StatusOK {
		t.Error("a node is taken out in the middle of an election")
	}
}

// A node without the state service and all other controllers says so soon, and
// answers at once instead of asking the state service.
func TestNodeCutOffFromStateAndPeers(t *testing.T) {
	c, clock := refusedController(t)
	clock.now += c.deps.Lease.timing.Length + units.Millisecond
	if r := c.health(); r.Status != http.StatusServiceUnavailable {
		t.Error("it counts as healthy")
	}
	began := time.Now()
	if r := c.poll(t.Context(), "j-000001", true); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("poll: %d", r.Status)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the user waited %v", took)
	}
}
