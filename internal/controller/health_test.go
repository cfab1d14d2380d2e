package controller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// While a leader that renews its lease refuses this controller's connections, workers are
// redirected to the leader and the controller is unhealthy. Once the lease record is stale there is
// no leader: workers are not redirected, and the controller is healthy during the election.
func TestControllerRefusedByTheLeaderIsUnhealthy(t *testing.T) {
	c, clock := newRefusedController(t, nil)
	for version := uint64(1); version <= 2; version++ {
		c.observeLeaseRecord(version)
		if got := c.redirectTarget(); got != "leader" {
			t.Fatalf("workers are redirected to %q", got)
		}
		if response := c.health(); response.Status != http.StatusOK {
			t.Fatalf("unhealthy after %d s", version)
		}
		clock.Now += units.Second
	}
	clock.Now += units.Second
	c.observeLeaseRecord(3)
	if response := c.health(); response.Status != http.StatusServiceUnavailable {
		t.Error("a controller that can forward no request counts as healthy")
	}
	clock.Now += c.elector.LeaseDuration()
	c.observeLeaseRecord(3) // the record is read again, unchanged
	if got := c.redirectTarget(); got != "" {
		t.Errorf("workers are redirected to %q, which does not renew its lease", got)
	}
	if response := c.health(); response.Status != http.StatusOK {
		t.Error("the controller is unhealthy during an election")
	}
}

// A controller that can reach neither the key-value store nor any other controller becomes
// unhealthy after the lease duration. It answers a poll at once instead of sending a request to the
// store.
func TestControllerPartitionedFromStoreAndPeersIsUnhealthy(t *testing.T) {
	c, clock := newRefusedController(t, nil)
	clock.Now += c.elector.LeaseDuration() + units.Millisecond
	if response := c.health(); response.Status != http.StatusServiceUnavailable {
		t.Error("the controller counts as healthy")
	}
	startedAt := time.Now()
	if a := c.poll(t.Context(), testJob, fromUser); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("poll: %d", a.Status)
	}
	if took := time.Since(startedAt); took > 500*time.Millisecond {
		t.Errorf("the user waited %v", took)
	}
}

// A controller that cannot reach the key-value store still considers the former leader, possibly
// itself, to be the leader. It learns of the current leader from that leader's answers to its pings,
// forwards requests to it and redirects workers to it.
func TestCurrentLeaderIsKnownWithoutTheStore(t *testing.T) {
	mesh, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := &fake.Clock{Now: 100 * units.Second}
	env := testEnvironment(clock)
	startLoop(t, func(ctx context.Context) {
		_ = transport.ServeMesh(ctx, mesh, env.Log, func(ctx context.Context, frame []byte) ([]byte, error) {
			return peers.RespondToFrame(ctx, frame, "next", func(context.Context, protocol.Frame) transport.Response {
				return answer.StateResponse(http.StatusOK, protocol.JobState{ID: testJob, Stage: protocol.StagePending})
			})
		})
	})
	settings := modelSettings()
	settings.Services.KVStore = unusedAddress
	settings.Peers = []config.Peer{{Name: "next", Endpoint: mesh.Addr().String()}}
	c := New(settings, env)
	record := storage.LeaseRecord{Holder: settings.Name, Incarnation: 3}
	c.elector.ObserveRecord(record, 1)
	clock.Now += leaseRecordTTL + units.Millisecond
	startLoop(t, c.peers.Run)
	if !eventually(10*time.Second, func() bool { return c.redirectTarget() == "next" }) {
		t.Fatalf("workers are redirected to %q", c.redirectTarget())
	}
	if a := c.poll(t.Context(), testJob, fromUser); a.Status != http.StatusOK {
		t.Errorf("poll: %d %s", a.Status, a.Body)
	}
	if response := c.health(); response.Status != http.StatusOK {
		t.Errorf("health: %s", response.Body)
	}
	c.elector.ObserveRecord(record, 1)
	if got := c.leaderName(); got != settings.Name {
		t.Errorf("leader %q although the lease record was just read", got)
	}
}
