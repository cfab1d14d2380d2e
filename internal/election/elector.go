// Package election elects the leader among the controllers. A controller campaigns for the
// leader lease, a record in the key-value store, by a compare-and-swap that raises the record's
// incarnation. The winner renews the record until it steps down or another controller wins;
// the others watch the record. The incarnation is the leader's fencing token.
//
// Clocks of different machines are never compared. A holder counts its lease from the moment at
// which it sent the last renewal. A follower campaigns only once it has itself seen the record
// unchanged for the lease duration plus a margin and the drift between two clocks.
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

// Deps holds the dependencies of an Elector.
type Deps struct {
	Name string // this controller's name
	// KV should have connections of its own, so that a renewal does not wait behind other
	// requests.
	KV     *kv.Client
	Clock  units.Clock
	Timing LeaseTiming
	Random *rand.Rand // used only by NewElector and Run
	Log    *slog.Logger
}

// Elector holds the leader lease, or watches it and campaigns for it. Run does the work;
// the other methods may be called concurrently with it and with each other.
type Elector struct {
	name   string
	client *kv.Client
	clock  units.Clock
	timing LeaseTiming
	random *rand.Rand
	log    *slog.Logger
	// nonce is the prefix of all write IDs of this process. It distinguishes them from the
	// write IDs of a former process of the same controller.
	nonce string

	// Connected reports whether this controller receives messages from workers or other
	// controllers. A controller that receives none lets the others campaign first. Connected
	// must be set before Run and be safe for concurrent use.
	Connected func() bool
	// Eligible reports whether this controller is able to lead; nil means always. It must be
	// set before Run. It is called with the elector's lock held and must not call the elector.
	Eligible func() bool

	mu            sync.Mutex // guards the fields below
	monitor       leaseMonitor
	leading       bool
	recordVersion uint64 // version of the lease record that this leader last wrote
	token         uint64
	validUntil    units.Micros // on this controller's steady clock
	steppingDown  bool         // the next renewal resigns
	campaignAfter units.Micros // steady time before which this controller does not campaign
	abstainFor    units.Micros // minimum time without campaigning after the resignation
	handedOverAt  units.Micros // time of day of the last hand-over by any holder, as in the record
	writes        uint64       // number of write IDs issued by this process
	answeredAt    units.Micros // steady time of the key-value store's last response to a read or renewal
}

// NewElector returns the elector of a controller, which starts as a follower.
func NewElector(deps Deps) *Elector {
	return &Elector{
		name:       deps.Name,
		client:     deps.KV,
		clock:      deps.Clock,
		timing:     deps.Timing,
		random:     deps.Random,
		log:        deps.Log,
		nonce:      fmt.Sprintf("%s-%016x", deps.Name, deps.Random.Uint64()),
		monitor:    leaseMonitor{timing: deps.Timing},
		answeredAt: deps.Clock.Steady(),
		Connected:  func() bool { return true },
	}
}

// Run renews the lease while this controller leads, and watches it and campaigns while it
// does not, until ctx ends. After each election that this controller wins, Run calls lead in a
// goroutine with the fencing token and a context that is cancelled once the lease is resigned or
// another controller has acquired it. Run waits for lead to return before it campaigns again,
// and before it returns itself. A lease that expired while the record stayed unchanged is
// renewed with the same token, and lead keeps running.
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

// startLeader runs lead in a goroutine and returns a function that cancels its context and
// waits until it has returned.
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

// holdsLease reports whether this controller won the last election that it knows of. Its lease
// may have expired since; Valid checks that.
func (e *Elector) holdsLease() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading
}
