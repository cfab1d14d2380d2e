package election

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// testController is a controller's elector with its own clock, which starts at an arbitrary time
// and gains up to 0.05%, the most that clockDriftPPM allows one clock.
type testController struct {
	elector *Elector
	clock   *driftingClock
}

// driftingClock derives its time from the true time by an offset and a rate error.
type driftingClock struct {
	trueTime *units.Micros
	offset   units.Micros
	rate     int64 // gain on the true time, in parts per million
}

func (c *driftingClock) Steady() units.Micros {
	return c.offset + *c.trueTime + *c.trueTime*units.Micros(c.rate)/1_000_000
}
func (c *driftingClock) Wall() units.Micros { return c.Steady() }

// newTestElector returns an elector of the named controller on a fake key-value store. Each
// process of a controller needs a seed of its own, since write IDs are derived from it.
func newTestElector(name string, server *httptest.Server, clock units.Clock, seed uint64) *Elector {
	client := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.KVLimits{
		RPS:      1e6,
		WriteRPS: 1e6,
	}, 0, clock)
	return NewElector(Deps{
		Name:   name,
		KV:     client,
		Clock:  clock,
		Timing: TimingFor(10 * units.Second),
		Random: rand.New(rand.NewPCG(7, seed)),
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// step executes one iteration of Run, without starting a leader.
func (c *testController) step(ctx context.Context) {
	if c.elector.holdsLease() {
		c.elector.renew(ctx)
	} else {
		c.elector.watch(ctx)
	}
}

// holderChecker is an invariant checker: at most one controller holds the lease at a time, valid
// fencing tokens never decrease, and each token belongs to a single process.
type holderChecker struct {
	owners map[uint64]*Elector // by token
	newest uint64              // the highest token that was valid so far
}

// observe checks the invariants for the current state of all controllers.
func (c *holderChecker) observe(t *rapid.T, controllers []*testController) {
	t.Helper()
	holders := 0
	for _, controller := range controllers {
		token := controller.elector.Token()
		if !controller.elector.Valid(token) {
			continue
		}
		holders++
		if token < c.newest {
			t.Fatalf("token %d is valid after token %d", token, c.newest)
		}
		c.newest = token
		if owner := c.owners[token]; owner != nil && owner != controller.elector {
			t.Fatalf("token %d was also valid in another process", token)
		}
		c.owners[token] = controller.elector
	}
	if holders > 1 {
		t.Fatal("two controllers hold the lease")
	}
}

// Two controllers never hold the lease at the same time, and fencing tokens never decrease,
// under clock drift, pauses, outages of the key-value store, lost responses and delayed writes.
// A restarted process never reuses a token of its former process, even if the restart falls
// between a campaign and its outcome: otherwise workers could not tell heartbeats to the two
// processes apart.
func TestFaultsAndClockDriftNeverYieldTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		state := fake.NewKVServer()
		refuse := rapid.SliceOfN(rapid.Bool(), 7, 7).Draw(t, "refuse")
		silent := rapid.SliceOfN(rapid.Bool(), 11, 11).Draw(t, "silent")
		calls := 0
		state.RejectRequest = func(string, string) bool { calls++; return refuse[calls%7] && calls%50 < 25 }
		state.DropResponse = func(n int) bool { return silent[n%11] && n%40 < 20 }
		server := httptest.NewServer(state)
		defer server.Close()
		trueTime := units.Second
		var controllers []*testController
		for i, name := range []string{"a", "b", "c"} {
			clock := &driftingClock{trueTime: &trueTime, offset: units.Micros(i) * 1000 * units.Second,
				rate: rapid.Int64Range(0, 500).Draw(t, "rate")}
			controllers = append(controllers, &testController{newTestElector(name, server, clock, uint64(i)), clock})
		}
		late := rapid.SliceOfN(rapid.IntRange(0, 3), 13, 13).Draw(t, "late")
		state.DelayCommit = func(n int) bool { return late[n%13] == 0 }
		flush := rapid.SliceOfN(rapid.IntRange(0, 2), 17, 17).Draw(t, "carried out")
		check := holderChecker{owners: map[uint64]*Elector{}}
		step := 0
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			trueTime += units.Micros(rapid.SampledFrom([]int64{10, 300, 700, 2900, 3100, 3400, 9000}).Draw(t, "ms")) * units.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "controller")
			if rapid.IntRange(0, 7).Draw(t, "restart") == 0 {
				controllers[i].elector = newTestElector(controllers[i].elector.name, server, controllers[i].clock, uint64(100+calls))
			}
			controllers[i].step(ctx)
			if step++; flush[step%17] == 0 {
				state.ApplyDelayed()
			}
			check.observe(t, controllers)
		}
	})
}

// A lease that expired during an outage is renewed with the same token if no other controller
// has acquired it. A leader that steps down then resigns it.
func TestExpiredLeaseIsRenewedWithSameToken(t *testing.T) {
	state := fake.NewKVServer()
	down := false
	state.RejectRequest = func(string, string) bool { return down }
	server := httptest.NewServer(state)
	defer server.Close()
	trueTime := units.Second
	elector := newTestElector("a", server, &driftingClock{trueTime: &trueTime}, 1)
	elector.watch(t.Context())
	token := elector.Token()
	if !elector.Valid(token) {
		t.Fatal("not acquired")
	}
	down = true
	trueTime += 20 * units.Second
	elector.renew(t.Context())
	if elector.Valid(token) {
		t.Fatal("still valid after an outage longer than the lease")
	}
	down = false
	elector.renew(t.Context())
	if !elector.Valid(token) {
		t.Fatal("not renewed with the same token")
	}
	elector.StepDown()
	if elector.Valid(token) {
		t.Fatal("valid although the leader is stepping down")
	}
	elector.renew(t.Context())
	var record storage.LeaseRecord
	item, _ := state.Get(storage.KeyLeaderLease)
	if err := protocol.Decode(item.Value, &record); err != nil || !record.Resigned {
		t.Fatalf("record %+v, %v: not resigned", record, err)
	}
}

// A controller that restarts while it is partitioned from the workers must not acquire its
// former process's lease at once: it would lead without receiving a heartbeat.
func TestDisconnectedControllerWaitsBeforeCampaign(t *testing.T) {
	state := fake.NewKVServer()
	server := httptest.NewServer(state)
	defer server.Close()
	trueTime := units.Second
	first := newTestElector("a", server, &driftingClock{trueTime: &trueTime}, 1)
	first.watch(t.Context())
	again := newTestElector("a", server, &driftingClock{trueTime: &trueTime}, 2)
	connected := false
	again.Connected = func() bool { return connected }
	again.watch(t.Context())
	if again.holdsLease() {
		t.Fatal("acquired while disconnected")
	}
	connected = true
	again.watch(t.Context())
	if !again.holdsLease() || again.Token() != 2 {
		t.Fatal("not acquired although connected")
	}
}
