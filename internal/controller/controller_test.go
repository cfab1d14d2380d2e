package controller

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

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

// A node that reaches no leader takes a job by itself. From then on nobody says
// that it is unknown, or anything older than what its user was told: not this
// node, and not a leader, whether or not it has taken the job in.
func TestJobsAreAcceptedWithoutALeader(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	store.Put(storage.KeyTerminal("j-000009"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	c, _ := newRefusedController(t, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const id = "j-000001"
	for _, want := range []int{http.StatusCreated, http.StatusOK} {
		if r := c.submit(ctx, submission(modelSpec(id), "team"), true); r.Status != want || decodeState(t, r).Stage != protocol.StagePending {
			t.Fatalf("submission: %d %s, want %d", r.Status, r.Body, want)
		}
	}
	if r := c.submit(ctx, submission(modelSpec("j-000009"), "team"), true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Errorf("a job that is over: %d %s", r.Status, r.Body)
	}
	// Only a leader refuses for good: it knows whether the job was accepted before.
	if r := c.submit(ctx, submission(modelSpec("j-000002"), "nobody"), true); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("an impossible job: %d", r.Status)
	}
	if r := c.submit(ctx, submission(modelSpec("j-000003"), "team"), false); r.Status != http.StatusServiceUnavailable {
		t.Errorf("passed on by another node: %d", r.Status)
	}
	if r := c.poll(ctx, id, true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StagePending {
		t.Errorf("poll: %d %s", r.Status, r.Body)
	}
	if r := c.poll(ctx, "j-000003", true); r.Status != http.StatusNotFound {
		t.Errorf("poll of an unknown job: %d", r.Status)
	}

	leader := newStoredLeader(t, 1, store)
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	if r := leader.Poll(ctx, id); r.Status != http.StatusOK && r.Status != http.StatusServiceUnavailable {
		t.Errorf("a leader that has not taken it in: %d", r.Status)
	}
	if r := leader.Cancel(ctx, id); r.Status != http.StatusServiceUnavailable {
		t.Errorf("cancellation before it is taken in: %d", r.Status)
	}
	unknown := modelSpec(id)
	unknown.Team = "nobody"
	if r := leader.Submit(ctx, unknown); r.Status == http.StatusUnprocessableEntity {
		t.Error("the repeat of an accepted job is refused")
	}
	go leader.persister.Run(ctx)
	go leader.ingester.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); len(store.Keys(storage.PrefixPending)) > 0; {
		if time.Now().After(deadline) {
			t.Fatal("it stays in the inbox")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if r := leader.Cancel(ctx, id); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
		t.Errorf("cancellation: %d %s", r.Status, r.Body)
	}
	if r := c.submit(ctx, submission(modelSpec(id), "team"), true); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
		t.Errorf("repeat of a cancelled job: %d %s", r.Status, r.Body)
	}
}

// A job is accepted without a leader by a commit that takes long. By then it may have been
// taken in and cancelled, so its state is read again before the user is told of it.
func TestAcceptanceThatTookLongIsReadAgain(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	c, clock := newRefusedController(t, store)
	const id = "j-000001"
	store.Refuse = func(_, path string) bool {
		if path == protocol.PathCommit {
			clock.Now += answer.MaxAnswerAge + units.Millisecond
		}
		return false
	}
	a := c.submit(t.Context(), submission(modelSpec(id), "team"), true)
	if got := c.gate().Check(a); got.Status != http.StatusOK || decodeState(t, a).Stage != protocol.StagePending {
		t.Errorf("%d %s", got.Status, got.Body)
	}
	if len(store.Keys(storage.PrefixPending)) != 1 {
		t.Error("it is not in the inbox")
	}
}

// What was put into the inbox late, for a job that is over by then, is cleared
// away and never answered for: the job's final state stands.
func TestLatePendingSubmissionOfAFinishedJob(t *testing.T) {
	store := standin.NewState()
	spec := modelSpec("j-000001")
	for _, c := range cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec}).Then {
		store.Put(c.Set, c.Value)
	}
	store.Put(storage.KeyTerminal(spec.ID), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newStoredLeader(t, 1, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	go leader.persister.Run(ctx)
	go leader.ingester.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); len(store.Keys(storage.PrefixPending)) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it stays in the inbox")
		}
		if r := leader.Poll(ctx, spec.ID); r.Status == http.StatusOK && decodeState(t, r).Stage != protocol.StageDone || r.Status == http.StatusNotFound {
			t.Fatalf("poll: %d %s", r.Status, r.Body)
		}
	}
	if live := store.Keys("job/"); len(live) > 0 {
		t.Errorf("live again: %v", live)
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
