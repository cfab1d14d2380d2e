// Package election decides who leads: it campaigns for the leader lease, a record in the
// key-value store, by a compare-and-swap that raises its incarnation, and watches the lease
// while another controller holds it. The incarnation is the fencing token of the leader.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Elector holds or watches the fleet lease record.
type Elector struct {
	node   string
	store  *kv.Client
	clock  units.Clock
	timing LeaseTiming
	random *rand.Rand
	log    *slog.Logger
	nonce  string
	// Connected tells whether this node hears workers or other controllers.
	// One that hears nobody lets the others claim first.
	Connected func() bool
	// Eligible tells whether this node could lead at all.
	Eligible func() bool

	mu            sync.Mutex
	monitor       leaseMonitor
	leading       bool
	version       uint64
	token         uint64
	validUntil    units.Micros
	steppingDown  bool
	campaignAfter units.Micros
	writes        uint64
	abstainFor    units.Micros // once resigned, longer than usual
	handedOverAt  units.Micros // as in the record
	answeredAt    units.Micros // when the state service last answered a read or a renewal
}

// NewElector makes the lease of a node.
func NewElector(node string, store *kv.Client, clock units.Clock, timing LeaseTiming, random *rand.Rand, log *slog.Logger) *Elector {
	return &Elector{
		node:       node,
		store:      store,
		clock:      clock,
		timing:     timing,
		random:     random,
		log:        log,
		nonce:      fmt.Sprintf("%s-%016x", node, random.Uint64()),
		monitor:    leaseMonitor{timing: timing},
		answeredAt: clock.Steady(),
		Connected:  func() bool { return true },
	}
}

// Valid tells whether this node surely holds the lease now, for the term.
func (f *Elector) Valid(term uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leading && !f.steppingDown && f.token == term && f.clock.Steady() < f.validUntil
}

// LeaseDuration is for how long a renewal of the lease holds.
func (f *Elector) LeaseDuration() units.Micros { return f.timing.Duration }

// Remaining is how long the lease still holds, 0 if it does not.
func (f *Elector) Remaining() units.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || f.steppingDown {
		return 0
	}
	return max(0, f.validUntil-f.clock.Steady())
}

// Leader names the node that holds the lease as far as this one knows.
func (f *Elector) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading {
		return f.node
	}
	if !f.monitor.seen || f.monitor.record.Resigned {
		return ""
	}
	return f.monitor.record.Holder
}

// SeesRenewals tells whether another node surely led a moment ago: this node has
// itself seen the holder renew the record within the lease.
func (f *Elector) SeesRenewals() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leading && f.monitor.seen && !f.monitor.readFailed && !f.monitor.record.Resigned && f.monitor.version != 0 &&
		f.clock.Steady()-f.monitor.unchangedSince < f.timing.Duration
}

// UnansweredFor is for how long the state service has answered neither a read nor
// a renewal of the record.
func (f *Elector) UnansweredFor() units.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Steady() - f.answeredAt
}

// StepDown gives the lease up, for a leader that could not do its work.
func (f *Elector) StepDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steppingDown = true
}

// Abstain gives the lease up for a node that cannot lead, and leaves it to the
// others for a while.
func (f *Elector) Abstain(d units.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steppingDown, f.abstainFor = true, d
}

// HandOver gives the lease up for a node that has fallen behind, and tells
// whether it did: not if any holder did so a short time ago.
func (f *Elector) HandOver(wall units.Micros) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || f.steppingDown || wall-f.handedOverAt < handOverInterval {
		return false
	}
	f.handedOverAt, f.steppingDown = wall, true
	return true
}

// Run keeps the lease or waits for it, until ctx ends. While a term lasts,
// lead runs with a context that ends when the term is lost for good. A lease
// that merely lapsed, with the record unchanged, is renewed in the same term.
func (f *Elector) Run(ctx context.Context, lead func(ctx context.Context, term uint64)) {
	end := func() {}
	defer func() { end() }()
	for ctx.Err() == nil {
		var pause units.Micros
		if f.holdsLease() {
			pause = f.renew(ctx)
		} else {
			end()
			end = func() {}
			pause = f.watch(ctx)
			if f.holdsLease() {
				end = startLeading(ctx, f.Token(), lead)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
}

// startLeading runs lead and gives a function that ends it and waits for it.
func startLeading(ctx context.Context, term uint64, lead func(ctx context.Context, term uint64)) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(ctx, term)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Token is the term that this node holds, if it does.
func (f *Elector) Token() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

func (f *Elector) holdsLease() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leading
}

func (f *Elector) nextWriteID() string {
	f.writes++
	return fmt.Sprintf("%s-%d", f.nonce, f.writes)
}

const (
	leaseCallTimeout = 900 * units.Millisecond
	leaseRetryDelay  = 150 * units.Millisecond
)

// compareAndSwap commits the lease record on a version, and finds out what became of
// it if no answer comes. It gives the version that now stands and whether the
// record is the one written.
func (f *Elector) compareAndSwap(ctx context.Context, rec storage.LeaseRecord, on uint64) (uint64, bool, error) {
	rev, err := f.store.CompareAndSwap(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.KeyLeaderLease, Version: on}},
		Then: []protocol.Change{{Set: storage.KeyLeaderLease, Value: protocol.Encode(rec)}},
	}, kv.Urgent, leaseCallTimeout)
	var conflict *kv.VersionConflictError
	switch {
	case err == nil:
		return rev, true, nil
	case errors.As(err, &conflict), errors.Is(err, kv.ErrOutcomeUnknown):
		// Either another node was faster, or an earlier save of ours that got
		// no answer was carried out after all. The record tells.
		now, version, rerr := f.read(ctx)
		if rerr != nil {
			return 0, false, rerr
		}
		return version, now.WriteID == rec.WriteID, nil
	}
	return 0, false, err
}

func (f *Elector) read(ctx context.Context) (storage.LeaseRecord, uint64, error) {
	var rec storage.LeaseRecord
	item, ok, err := f.store.Get(ctx, storage.KeyLeaderLease, leaseCallTimeout)
	if err != nil || !ok {
		return rec, 0, err
	}
	if err := protocol.Decode(item.Value, &rec); err != nil {
		return rec, 0, fmt.Errorf("record %s: %w", storage.KeyLeaderLease, err)
	}
	return rec, item.Version, nil
}

// renew prolongs the lease by one save. The lease counts from when the save
// was sent, since nobody can have seen it earlier.
func (f *Elector) renew(ctx context.Context) units.Micros {
	f.mu.Lock()
	rec := storage.LeaseRecord{
		Holder:       f.node,
		Incarnation:  f.token,
		WriteID:      f.nextWriteID(),
		Resigned:     f.steppingDown,
		HandedOverAt: f.handedOverAt,
	}
	on, sent := f.version, f.clock.Steady()
	f.mu.Unlock()
	version, ours, err := f.compareAndSwap(ctx, rec, on)
	if err != nil {
		if !errors.Is(err, kv.ErrRefused) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			f.log.Error("fleet lease not renewed", "term", rec.Incarnation, "error", err)
		}
		return leaseRetryDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = f.clock.Steady()
	if ours {
		f.version = version
		if rec.Resigned {
			f.leaseLost("resigned")
			f.campaignAfter = f.clock.Steady() + max(2*f.timing.Duration, f.abstainFor)
			f.abstainFor = 0
			return f.timing.RenewEvery
		}
		f.validUntil = sent + f.timing.Duration
		return f.timing.RenewEvery
	}
	return f.resolveOutcome(ctx, on, version)
}

// resolveOutcome is called, locked, after a save that was not carried out or whose
// outcome is open.
func (f *Elector) resolveOutcome(ctx context.Context, on, version uint64) units.Micros {
	if version == on {
		return leaseRetryDelay // not carried out yet; the next save decides
	}
	f.mu.Unlock()
	rec, v, err := f.read(ctx)
	f.mu.Lock()
	if err != nil {
		return leaseRetryDelay
	}
	if rec.Holder == f.node && rec.Incarnation == f.token && f.isOwnWrite(rec.WriteID) {
		f.version = v // an earlier save of ours, carried out late
		return 0
	}
	f.leaseLost("claimed by " + rec.Holder)
	f.monitor.observe(rec, v, f.clock.Steady())
	return 0
}

func (f *Elector) isOwnWrite(save string) bool {
	return len(save) > len(f.nonce) && save[:len(f.nonce)] == f.nonce
}

func (f *Elector) leaseLost(why string) {
	f.log.Info("fleet lease lost", "term", f.token, "why", why)
	f.leading, f.steppingDown, f.validUntil = false, false, 0
	f.monitor = leaseMonitor{timing: f.timing}
}

// watch reads the record once and claims it when that is due.
func (f *Elector) watch(ctx context.Context) units.Micros {
	rec, version, err := f.read(ctx)
	f.mu.Lock()
	now := f.clock.Steady()
	if err != nil {
		f.monitor.observeFailure()
		f.mu.Unlock()
		if !errors.Is(err, kv.ErrRefused) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			f.log.Error("fleet lease not readable", "error", err)
		}
		return f.timing.PollEvery
	}
	f.answeredAt = now
	f.monitor.observe(rec, version, now)
	due := f.monitor.claimable(f.node, now) && now >= f.campaignAfter && (f.Eligible == nil || f.Eligible())
	rec, version, since := f.monitor.record, f.monitor.version, f.monitor.unchangedSince
	f.mu.Unlock()
	if !due {
		// PollEvery more closely near the end, spread so that nodes do not race.
		left := WithDrift(f.timing.Duration, f.timing.ClaimMargin) - (now - since)
		jitter := units.Micros(f.random.Int64N(int64(leasePollJitter)))
		return max(minLeasePollInterval, min(f.timing.PollEvery, left)) + jitter
	}
	// A node that hears nobody leaves the lease to the others for a while: it
	// may be cut off, and could do nothing with it.
	patience := 3 * f.timing.Duration
	if rec.Holder == f.node {
		patience = f.timing.Duration
	}
	if version != 0 && !f.Connected() && now-since < patience {
		return leasePollJitter
	}
	return f.campaign(ctx, rec, version)
}

// ObserveRecord notes what a read of the lease record showed just now.
func (f *Elector) ObserveRecord(record storage.LeaseRecord, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = f.clock.Steady()
	f.monitor.observe(record, version, f.answeredAt)
}

// campaign takes the record over by a conditional save that raises the
// incarnation by one.
func (f *Elector) campaign(ctx context.Context, old storage.LeaseRecord, version uint64) units.Micros {
	f.mu.Lock()
	rec := storage.LeaseRecord{
		Holder:       f.node,
		Incarnation:  old.Incarnation + 1,
		WriteID:      f.nextWriteID(),
		HandedOverAt: old.HandedOverAt,
	}
	sent := f.clock.Steady()
	f.mu.Unlock()
	now, ours, err := f.compareAndSwap(ctx, rec, version)
	if err != nil || !ours {
		return leaseRetryDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading, f.steppingDown, f.token, f.version, f.handedOverAt = true, false, rec.Incarnation, now, rec.HandedOverAt
	f.validUntil = sent + f.timing.Duration
	f.log.Info("fleet lease claimed", "term", f.token, "from", old.Holder)
	return f.timing.RenewEvery
}

// handOverInterval is the least time between two hand-overs, or the lease would be handed around in circles.
const handOverInterval = 120 * units.Second
