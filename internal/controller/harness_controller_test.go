package controller

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newTestController is a node that leads a term, without a state service or a cloud.
func newTestController(leader *Leader) *Controller {
	s := modelSettings()
	s.Services.State, s.Services.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	c := NewController(s, Environment{
		Policy: leader.Policy,
		Clock:  leader.Clock,
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    leader.Log,
	})
	c.leader.Store(leader)
	return c
}

// encodeTasks is a report's list of tasks as a worker sends it.
func encodeTasks(r *protocol.Heartbeat) protocol.Raw {
	bolts := make([]map[string]any, len(r.Tasks))
	for i, k := range r.Tasks {
		bolts[i] = map[string]any{
			"bolt":  protocol.TaskName(k.Job, k.Index),
			"try":   k.Attempt,
			"stage": "running",
		}
	}
	return protocol.Encode(bolts)
}

// encodeHeartbeat is a report as a worker sends it.
func encodeHeartbeat(r *protocol.Heartbeat, bolts protocol.Raw) []byte {
	return protocol.Encode(map[string]any{
		"dune":     r.Machine,
		"endpoint": "10.1.0.1:9000",
		"loom":     r.InstanceType,
		"yard":     r.Zone,
		"borrowed": r.Spot,
		"shift":    r.Incarnation,
		"tally":    r.Sequence,
		"baton":    r.FencingToken,
		"recall_s": nil,
		"bolts":    bolts,
	})
}

// newRefusedController is a node whose only peer, which leads, refuses its links.
// Its state service does not answer if none is given.
func newRefusedController(t *testing.T, state *standin.State) (*Controller, *standin.Clock) {
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
	clock := &standin.Clock{Now: 100 * units.Second}
	store := modelSettings()
	store.Services.State = hanging.Addr().String()
	if state != nil {
		server := httptest.NewServer(state)
		t.Cleanup(server.Close)
		store.Services.State = strings.TrimPrefix(server.URL, "http://")
	}
	store.Others = []config.Peer{{Node: "leader", Endpoint: addr}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := NewController(store, Environment{
		Policy: config.DefaultPolicy(),
		Clock:  clock,
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go c.peers.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); !c.peers.RefusesConnections("leader"); {
		if time.Now().After(deadline) {
			t.Fatal("the link is not refused")
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.leaderReachedAt.Store(int64(clock.Now))
	return c, clock
}

// sawRenewal is a read of the record that shows a new version.
func (c *Controller) sawRenewal(version uint64) {
	l := c.elector
	l.ObserveRecord(storage.LeaseRecord{Holder: "leader", Incarnation: 3}, version)
}

// submission is the body of a user's request.
func submission(spec *protocol.JobSpec, team string) []byte {
	return protocol.Encode(map[string]any{
		"uid":       spec.ID,
		"queue":     spec.Class,
		"crew":      team,
		"shape":     "sweep",
		"urgency":   "normal",
		"bolts":     spec.Tasks,
		"vcpus":     1.0,
		"cards":     0.0,
		"memory_gb": 1.0,
		"borrowed":  true,
		"pattern":   "i",
		"image_gb":  1.0,
		"expect_s":  5.0,
		"mark_s":    0.0,
		"stow_s":    0.0,
		"together":  false,
		"apart":     false,
	})
}
