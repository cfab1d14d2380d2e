package election

import (
	"context"
	_ "dunestand/internal/standin/fixedseed"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// leaseNode is one node's lease with a clock of its own, which starts
// anywhere and runs up to 0.05% off.
type leaseNode struct {
	lease *Elector
	clock *driftingClock
}

type driftingClock struct {
	truth  *units.Micros
	offset units.Micros
	rate   int64 // millionths fast
}

func (c *driftingClock) Steady() units.Micros {
	return c.offset + *c.truth + *c.truth*units.Micros(c.rate)/1_000_000
}
func (c *driftingClock) Wall() units.Micros { return c.Steady() }

func newLeaseNode(name string, server *httptest.Server, clock units.Clock, seed uint64) *Elector {
	store := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
		RPS:      1e6,
		WriteRPS: 1e6,
	}, 0, clock)
	return NewElector(name, store, clock, TimingFor(10*units.Second), rand.New(rand.NewPCG(7, seed)), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Step does what Run does between two pauses.
func (n *leaseNode) step(ctx context.Context) {
	if n.lease.holdsLease() {
		n.lease.renew(ctx)
	} else {
		n.lease.watch(ctx)
	}
}

// At no moment do two nodes hold the lease, whatever the nodes' clocks, their
// pauses, the state service's outages, and commits without an answer or that
// come late; and terms only go up. A process that is back at once, between its
// claim and the outcome too, never goes on in a term of its former self: the
// term must tell a worker's report to it from one to the other.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		state := standin.NewState()
		refuse := rapid.SliceOfN(rapid.Bool(), 7, 7).Draw(t, "refuse")
		silent := rapid.SliceOfN(rapid.Bool(), 11, 11).Draw(t, "silent")
		calls := 0
		state.Refuse = func(string, string) bool { calls++; return refuse[calls%7] && calls%50 < 25 }
		state.Silent = func(n int) bool { return silent[n%11] && n%40 < 20 }
		server := httptest.NewServer(state)
		defer server.Close()
		truth := units.Second
		var nodes []*leaseNode
		for i, name := range []string{"a", "b", "c"} {
			clock := &driftingClock{truth: &truth, offset: units.Micros(i) * 1000 * units.Second,
				rate: rapid.Int64Range(0, 500).Draw(t, "rate")}
			nodes = append(nodes, &leaseNode{newLeaseNode(name, server, clock, uint64(i)), clock})
		}
		late := rapid.SliceOfN(rapid.IntRange(0, 3), 13, 13).Draw(t, "late")
		state.Late = func(n int) bool { return late[n%13] == 0 }
		flush := rapid.SliceOfN(rapid.IntRange(0, 2), 17, 17).Draw(t, "carried out")
		owners := map[uint64]*Elector{}
		step := 0
		top := uint64(0)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			truth += units.Micros(rapid.SampledFrom([]int64{10, 300, 700, 2900, 3100, 3400, 9000}).Draw(t, "ms")) * units.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "node")
			if rapid.IntRange(0, 7).Draw(t, "restart") == 0 {
				nodes[i].lease = newLeaseNode(nodes[i].lease.node, server, nodes[i].clock, uint64(100+calls))
			}
			nodes[i].step(ctx)
			if step++; flush[step%17] == 0 {
				state.Flush()
			}
			holders := 0
			for _, n := range nodes {
				if term := n.lease.Token(); n.lease.Valid(term) {
					holders++
					if term < top {
						t.Fatalf("term %d holds after term %d", term, top)
					}
					top = term
					if owner := owners[term]; owner != nil && owner != n.lease {
						t.Fatalf("term %d was another process's", term)
					}
					owners[term] = n.lease
				}
			}
			if holders > 1 {
				t.Fatal("two nodes hold the lease")
			}
		}
	})
}

func TestLeaseRules(t *testing.T) {
	w := leaseMonitor{timing: TimingFor(10 * units.Second)}
	due := WithDrift(w.timing.Duration, w.timing.ClaimMargin)
	if w.claimable("me", 0) {
		t.Fatal("claimable before anything was read")
	}
	w.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 5, 100)
	if w.claimable("me", 100+due-1) || !w.claimable("me", 100+due) {
		t.Fatal("a foreign record is claimable when it was seen unchanged for the lease and its margin, and no sooner")
	}
	w.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+due)
	if w.claimable("me", 100+due) {
		t.Fatal("a renewal starts the wait anew")
	}
	// After an outage the holder goes first: it keeps its term, and nothing
	// has to be settled anew.
	w.observeFailure()
	w.observe(storage.LeaseRecord{Holder: "other", Incarnation: 1}, 6, 100+3*due)
	if w.claimable("me", 100+3*due) || !w.claimable("me", 100+3*due+units.Second) {
		t.Fatal("no grace for the holder after an outage")
	}
	own := leaseMonitor{timing: w.timing}
	own.observe(storage.LeaseRecord{Holder: "me", Incarnation: 4}, 9, 0)
	if !own.claimable("me", 0) {
		t.Fatal("a node's former process is dead; its lease is claimable at once")
	}
}

// A lease that lapsed in an outage is renewed in the same term, if nobody
// claimed it meanwhile.
func TestExpiredLeaseIsRenewed(t *testing.T) {
	state := standin.NewState()
	down := false
	state.Refuse = func(string, string) bool { return down }
	server := httptest.NewServer(state)
	defer server.Close()
	truth := units.Second
	f := newLeaseNode("a", server, &driftingClock{truth: &truth}, 1)
	f.watch(t.Context())
	term := f.Token()
	if !f.Valid(term) {
		t.Fatal("not claimed")
	}
	down = true
	truth += 20 * units.Second
	f.renew(t.Context())
	if f.Valid(term) {
		t.Fatal("still valid after the outage outlasted it")
	}
	down = false
	f.renew(t.Context())
	if !f.Valid(term) {
		t.Fatal("not renewed in its term")
	}
	f.StepDown()
	if f.Valid(term) {
		t.Fatal("valid though it is being given up")
	}
	f.renew(t.Context())
	var rec storage.LeaseRecord
	item, _ := state.Get(storage.KeyLeaderLease)
	if err := protocol.Decode(item.Value, &rec); err != nil || !rec.Resigned {
		t.Fatalf("record %+v, %v: not given up", rec, err)
	}
}

// A node that was cut off, ended, and came back still cut off must not take its
// own lease again at once: it would hold it without hearing a worker.
func TestUnconnectedNodeWaits(t *testing.T) {
	state := standin.NewState()
	server := httptest.NewServer(state)
	defer server.Close()
	truth := units.Second
	first := newLeaseNode("a", server, &driftingClock{truth: &truth}, 1)
	first.watch(t.Context())
	again := newLeaseNode("a", server, &driftingClock{truth: &truth}, 2)
	connected := false
	again.Connected = func() bool { return connected }
	again.watch(t.Context())
	if again.holdsLease() {
		t.Fatal("claimed while it hears nobody")
	}
	connected = true
	again.watch(t.Context())
	if !again.holdsLease() || again.Token() != 2 {
		t.Fatal("not claimed though it hears others")
	}
}
