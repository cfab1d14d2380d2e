// Package coordination decides: who leads, what runs where, which machines
// are rented. What it knows is in package bookkeeping.
package coordination

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

// FleetLease holds or watches the fleet lease record.
type FleetLease struct {
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
	// Able tells whether this node could lead at all.
	Able func() bool

	mu         sync.Mutex
	monitor    leaseMonitor
	holding    bool
	version    uint64
	term       uint64
	validUntil units.Micros
	resigning  bool
	notBefore  units.Micros
	saves      uint64
	backFor    units.Micros // once resigned, longer than usual
	handedAt   units.Micros // as in the record
	answeredAt units.Micros // when the state service last answered a read or a renewal
}

// NewFleetLease makes the lease of a node.
func NewFleetLease(node string, store *kv.Client, clock units.Clock, timing LeaseTiming, random *rand.Rand, log *slog.Logger) *FleetLease {
	return &FleetLease{
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
func (f *FleetLease) Valid(term uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holding && !f.resigning && f.term == term && f.clock.Steady() < f.validUntil
}

// Remaining is how long the lease still holds, 0 if it does not.
func (f *FleetLease) Remaining() units.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holding || f.resigning {
		return 0
	}
	return max(0, f.validUntil-f.clock.Steady())
}

// Leader names the node that holds the lease as far as this one knows.
func (f *FleetLease) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holding {
		return f.node
	}
	if !f.monitor.seen || f.monitor.record.Resigned {
		return ""
	}
	return f.monitor.record.Holder
}

// Renewed tells whether another node surely led a moment ago: this node has
// itself seen the holder renew the record within the lease.
func (f *FleetLease) Renewed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.holding && f.monitor.seen && !f.monitor.broken && !f.monitor.record.Resigned && f.monitor.version != 0 &&
		f.clock.Steady()-f.monitor.since < f.timing.Length
}

// Unanswered is for how long the state service has answered neither a read nor
// a renewal of the record.
func (f *FleetLease) Unanswered() units.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Steady() - f.answeredAt
}

// Resign gives the lease up, for a leader that could not do its work.
func (f *FleetLease) Resign() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resigning = true
}

// StandBack gives the lease up for a node that cannot lead, and leaves it to the
// others for a while.
func (f *FleetLease) StandBack(d units.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resigning, f.backFor = true, d
}

// HandOver gives the lease up for a node that has fallen behind, and tells
// whether it did: not if any holder did so a short time ago.
func (f *FleetLease) HandOver(wall units.Micros) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holding || f.resigning || wall-f.handedAt < handOverPause {
		return false
	}
	f.handedAt, f.resigning = wall, true
	return true
}

// Run keeps the lease or waits for it, until ctx ends. While a term lasts,
// lead runs with a context that ends when the term is lost for good. A lease
// that merely lapsed, with the record unchanged, is renewed in the same term.
func (f *FleetLease) Run(ctx context.Context, lead func(ctx context.Context, term uint64)) {
	end := func() {}
	defer func() { end() }()
	for ctx.Err() == nil {
		var pause units.Micros
		if f.isHolding() {
			pause = f.renew(ctx)
		} else {
			end()
			end = func() {}
			pause = f.follow(ctx)
			if f.isHolding() {
				end = start(ctx, f.Term(), lead)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
}

// start runs lead and gives a function that ends it and waits for it.
func start(ctx context.Context, term uint64, lead func(ctx context.Context, term uint64)) func() {
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

// Term is the term that this node holds, if it does.
func (f *FleetLease) Term() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term
}

func (f *FleetLease) isHolding() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holding
}

func (f *FleetLease) saveID() string {
	f.saves++
	return fmt.Sprintf("%s-%d", f.nonce, f.saves)
}

const (
	leaseCall  = 900 * units.Millisecond
	retryPause = 150 * units.Millisecond
)

// write commits the lease record on a version, and finds out what became of
// it if no answer comes. It gives the version that now stands and whether the
// record is the one written.
func (f *FleetLease) write(ctx context.Context, rec storage.LeaseRecord, on uint64) (uint64, bool, error) {
	rev, err := f.store.CompareAndSwap(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.KeyLeaderLease, Version: on}},
		Then: []protocol.Change{{Set: storage.KeyLeaderLease, Value: protocol.Encode(rec)}},
	}, kv.Urgent, leaseCall)
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

func (f *FleetLease) read(ctx context.Context) (storage.LeaseRecord, uint64, error) {
	var rec storage.LeaseRecord
	item, ok, err := f.store.Get(ctx, storage.KeyLeaderLease, leaseCall)
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
func (f *FleetLease) renew(ctx context.Context) units.Micros {
	f.mu.Lock()
	rec := storage.LeaseRecord{
		Holder:       f.node,
		Incarnation:  f.term,
		WriteID:      f.saveID(),
		Resigned:     f.resigning,
		HandedOverAt: f.handedAt,
	}
	on, sent := f.version, f.clock.Steady()
	f.mu.Unlock()
	version, ours, err := f.write(ctx, rec, on)
	if err != nil {
		if !errors.Is(err, kv.ErrRefused) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			f.log.Error("fleet lease not renewed", "term", rec.Incarnation, "error", err)
		}
		return retryPause
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = f.clock.Steady()
	if ours {
		f.version = version
		if rec.Resigned {
			f.lose("resigned")
			f.notBefore = f.clock.Steady() + max(2*f.timing.Length, f.backFor)
			f.backFor = 0
			return f.timing.Renew
		}
		f.validUntil = sent + f.timing.Length
		return f.timing.Renew
	}
	return f.resolve(ctx, on, version)
}

// resolve is called, locked, after a save that was not carried out or whose
// outcome is open.
func (f *FleetLease) resolve(ctx context.Context, on, version uint64) units.Micros {
	if version == on {
		return retryPause // not carried out yet; the next save decides
	}
	f.mu.Unlock()
	rec, v, err := f.read(ctx)
	f.mu.Lock()
	if err != nil {
		return retryPause
	}
	if rec.Holder == f.node && rec.Incarnation == f.term && f.isOwn(rec.WriteID) {
		f.version = v // an earlier save of ours, carried out late
		return 0
	}
	f.lose("claimed by " + rec.Holder)
	f.monitor.observe(rec, v, f.clock.Steady())
	return 0
}

func (f *FleetLease) isOwn(save string) bool {
	return len(save) > len(f.nonce) && save[:len(f.nonce)] == f.nonce
}

func (f *FleetLease) lose(why string) {
	f.log.Info("fleet lease lost", "term", f.term, "why", why)
	f.holding, f.resigning, f.validUntil = false, false, 0
	f.monitor = leaseMonitor{timing: f.timing}
}

// follow reads the record once and claims it when that is due.
func (f *FleetLease) follow(ctx context.Context) units.Micros {
	rec, version, err := f.read(ctx)
	f.mu.Lock()
	now := f.clock.Steady()
	if err != nil {
		f.monitor.observeFailure()
		f.mu.Unlock()
		if !errors.Is(err, kv.ErrRefused) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			f.log.Error("fleet lease not readable", "error", err)
		}
		return f.timing.Poll
	}
	f.answeredAt = now
	f.monitor.observe(rec, version, now)
	due := f.monitor.claimable(f.node, now) && now >= f.notBefore && (f.Able == nil || f.Able())
	rec, version, since := f.monitor.record, f.monitor.version, f.monitor.since
	f.mu.Unlock()
	if !due {
		// Poll more closely near the end, spread so that nodes do not race.
		left := withDrift(f.timing.Length, f.timing.Margin) - (now - since)
		jitter := units.Micros(f.random.Int64N(int64(leasePollSpread)))
		return max(minLeasePoll, min(f.timing.Poll, left)) + jitter
	}
	// A node that hears nobody leaves the lease to the others for a while: it
	// may be cut off, and could do nothing with it.
	patience := 3 * f.timing.Length
	if rec.Holder == f.node {
		patience = f.timing.Length
	}
	if version != 0 && !f.Connected() && now-since < patience {
		return leasePollSpread
	}
	return f.claim(ctx, rec, version)
}

// claim takes the record over by a conditional save that raises the
// incarnation by one.
func (f *FleetLease) claim(ctx context.Context, old storage.LeaseRecord, version uint64) units.Micros {
	f.mu.Lock()
	rec := storage.LeaseRecord{
		Holder:       f.node,
		Incarnation:  old.Incarnation + 1,
		WriteID:      f.saveID(),
		HandedOverAt: old.HandedOverAt,
	}
	sent := f.clock.Steady()
	f.mu.Unlock()
	now, ours, err := f.write(ctx, rec, version)
	if err != nil || !ours {
		return retryPause
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holding, f.resigning, f.term, f.version, f.handedAt = true, false, rec.Incarnation, now, rec.HandedOverAt
	f.validUntil = sent + f.timing.Length
	f.log.Info("fleet lease claimed", "term", f.term, "from", old.Holder)
	return f.timing.Renew
}
