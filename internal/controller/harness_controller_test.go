package controller

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// unusedAddress is an address without a listener: connections to it are refused.
const unusedAddress = "127.0.0.1:1"

// testEnvironment returns the environment of a controller with the default policy.
func testEnvironment(clock units.Clock) Environment {
	return Environment{
		Policy: config.DefaultPolicy(),
		Clock:  clock,
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newTestController returns a controller that runs the given leader, without a key-value store
// or a cloud.
func newTestController(leader *Leader) *Controller {
	settings := modelSettings()
	settings.Services.KVStore, settings.Services.Cloud = unusedAddress, unusedAddress
	c := New(settings, testEnvironment(leader.Clock))
	c.leader.Store(leader)
	return c
}

// listenHanging returns the address of a listener that never accepts: requests to it hang.
func listenHanging(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// newRefusedController returns a controller whose only peer, "leader", refuses its connections.
// If store is nil, requests to the key-value store hang.
func newRefusedController(t *testing.T, store *fake.KVServer) (*Controller, *fake.Clock) {
	t.Helper()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	closed.Close()
	settings := modelSettings()
	settings.Peers = []config.Peer{{Name: "leader", Endpoint: refusing}}
	if store != nil {
		server := httptest.NewServer(store)
		t.Cleanup(server.Close)
		settings.Services.KVStore = strings.TrimPrefix(server.URL, "http://")
	} else {
		settings.Services.KVStore = listenHanging(t)
	}
	clock := &fake.Clock{Now: 100 * units.Second}
	c := New(settings, testEnvironment(clock))
	startLoop(t, c.peers.Run)
	if !eventually(10*time.Second, func() bool { return c.peers.RefusesConnections("leader") }) {
		t.Fatal("connection to the peer not refused")
	}
	c.leaderReachedAt.Store(int64(clock.Now))
	return c, clock
}

// observeLeaseRecord has the controller read the lease record of "leader" at the given version.
func (c *Controller) observeLeaseRecord(version uint64) {
	c.elector.ObserveRecord(storage.LeaseRecord{Holder: "leader", Incarnation: 3}, version)
}

// encodeWithEndpoint returns an encoded heartbeat with an endpoint to which commands can be
// pushed.
func encodeWithEndpoint(heartbeat *protocol.Heartbeat) []byte {
	heartbeat.Endpoint = "10.1.0.1:9000"
	return protocol.EncodeHeartbeat(heartbeat)
}

// encodeSubmission returns the encoded submission of a job by a team, as a user sends it.
func encodeSubmission(spec *protocol.JobSpec, team string) []byte {
	return protocol.Encode(map[string]any{
		protocol.FieldID:                 spec.ID,
		protocol.FieldClass:              spec.Class,
		protocol.FieldTeam:               team,
		protocol.FieldJobKind:            protocol.JobKindArray,
		protocol.FieldPriority:           "normal",
		protocol.FieldTasks:              spec.Tasks,
		protocol.FieldCPUs:               1.0,
		protocol.FieldGPUs:               0.0,
		protocol.FieldMemoryGB:           1.0,
		protocol.FieldAllowSpot:          true,
		protocol.FieldImage:              "i",
		protocol.FieldImageGB:            1.0,
		protocol.FieldEstimate:           5.0,
		protocol.FieldCheckpointInterval: 0.0,
		protocol.FieldCheckpointDuration: 0.0,
		protocol.FieldZoneAffinity:       false,
		protocol.FieldZoneSpread:         false,
	})
}
