// Package election decides which controller leads. A controller campaigns for the leader
// lease, a record in the key-value store, by a compare-and-swap that raises the record's
// incarnation; the winner renews the record until it steps down or another controller has
// won, and the others watch it. The incarnation is the leader's fencing token.
//
// No clocks of different machines are compared: a holder counts its lease from when it sent
// the last renewal, and a follower campaigns only once it has itself seen the record unchanged
// for the whole lease, a margin and the drift between two clocks.
package election

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"

	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/units"
)

// Deps is what an Elector works with.
type Deps struct {
	Node string // this controller's name
	// KV should have connections of its own, so that a renewal does not wait behind other
	// requests.
	KV     *kv.Client
	Clock  units.Clock
	Timing LeaseTiming
	Random *rand.Rand // used by NewElector and Run alone
	Log    *slog.Logger
}

// Elector holds the leader lease, or watches it and campaigns for it. Run does the work;
// the other methods may be called concurrently with it and with each other.
type Elector struct {
	node   string
	client *kv.Client
	clock  units.Clock
	timing LeaseTiming
	random *rand.Rand
	log    *slog.Logger
	// nonce begins the id of every write of this process, so that it knows its own writes
	// from those of a former process of the same controller.
	nonce string

	// Connected reports whether this controller hears workers or other controllers. One that
	// hears nobody lets the others campaign first. It is set before Run, and must be safe for
	// concurrent use.
	Connected func() bool
	// Eligible reports whether this controller could lead at all; nil means that it always
	// could. It is set before Run, is called with the elector's lock held, and must not call
	// the elector.
	Eligible func() bool

	mu            sync.Mutex // guards what follows
	monitor       leaseMonitor
	leading       bool
	recordVersion uint64 // of the lease record, as this leader last wrote it
	token         uint64
	validUntil    units.Micros // on this controller's steady clock
	steppingDown  bool         // the next renewal resigns
	campaignAfter units.Micros // steady time before which this controller does not campaign
	abstainFor    units.Micros // once resigned, longer than usual
	handedOverAt  units.Micros // time of day of the last hand-over by any holder, as in the record
	writes        uint64       // numbers the writes of this process
	answeredAt    units.Micros // when the key-value store last answered a read or a renewal
}

// NewElector returns the elector of a controller, which begins as a follower.
func NewElector(deps Deps) *Elector {
	return &Elector{
		node:       deps.Node,
		client:     deps.KV,
		clock:      deps.Clock,
		timing:     deps.Timing,
		random:     deps.Random,
		log:        deps.Log,
		nonce:      fmt.Sprintf("%s-%016x", deps.Node, deps.Random.Uint64()),
		monitor:    leaseMonitor{timing: deps.Timing},
		answeredAt: deps.Clock.Steady(),
		Connected:  func() bool { return true },
	}
}

// Run renews the lease while this controller leads, and watches it and campaigns while it
// does not, until ctx ends. After each election won, lead runs with the fencing token and a
// context that ends once the lease is lost for good; Run waits for it to return before it
// campaigns again, and before it returns itself. A lease that only expired, with the record
// unchanged, is renewed with the same token, and lead runs on.
func (e *Elector) Run(ctx context.Context, lead func(ctx context.Context, token uint64)) {
	stopLeader := func() {}
	defer func() { stopLeader() }()
	for ctx.Err() == nil {
		var pause units.Micros
		if e.holdsLease() {
			pause = e.renew(ctx)
		} else {
			stopLeader()
			stopLeader = func() {}
			pause = e.watch(ctx)
			if e.holdsLease() {
				stopLeader = startLeader(ctx, e.Token(), lead)
			}
		}
		loop.Sleep(ctx, pause)
	}
}

// startLeader runs lead in a goroutine and returns a function that cancels it and waits for
// it.
func startLeader(ctx context.Context, token uint64, lead func(ctx context.Context, token uint64)) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(ctx, token)
	}()
	return func() {
		cancel()
		<-done
	}
}

// holdsLease reports whether this controller has won the last election, as far as it knows.
// Its lease may have expired; Valid tells that.
func (e *Elector) holdsLease() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading
}
