// Package persister writes the leader's state to the key-value store in write batches, reads
// it back after a failover, and ingests jobs that were accepted without a leader.
package persister

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// PlanConflicts is told when a batch met another version of the admission plan than the one
// that its new jobs were accepted by.
type PlanConflicts interface {
	// Reconsider decides again about the jobs that are not accepted yet. It needs the lock
	// of the state held.
	Reconsider()
	// RereadPlan finds out which plan is in force.
	RereadPlan(ctx context.Context)
}

// Deps is what a Persister works with.
type Deps struct {
	State       *cluster.State
	Leadership  election.Leadership
	Ingester    *Ingester
	Terminals   *TerminalJobs
	Admission   PlanConflicts
	OnCatalog   func(versions map[string]uint64)
	Settings    *config.Settings
	KV          *kv.Client
	Format      recordformat.Source
	Clock       units.Clock
	Log         *slog.Logger
	Tracer      cluster.AttemptTracer
	Token       uint64
	ElectedAt   units.Micros
	WriteSignal loop.Signal
	CycleSignal loop.Signal
}

// Persister writes changed records to the key-value store and reads them back after a
// failover. Only the leader's persister writes the records of jobs: every batch is
// conditional on the heads of the jobs' buckets, which this leader has claimed.
type Persister struct {
	Deps
	// onCatalog is told which records hold the stored catalog, under the lock of state.

	restored chan struct{} // closed once the records are restored

	// What follows is guarded by the lock of state.
	writes         uint64 // numbers the batches
	writesInFlight int
	bucketVersions []uint64 // of the buckets' heads, as this leader claimed them
}

func New(deps Deps) *Persister {
	return &Persister{
		Deps:           deps,
		restored:       make(chan struct{}),
		bucketVersions: make([]uint64, storage.Buckets),
	}
}

func (p *Persister) NextWriteID() string {
	p.writes++
	return fmt.Sprintf("%d-%d", p.Token, p.writes)
}

const (
	maxWritesInFlight       = 3                       // saves on their way at a time
	coalesceBackground      = units.Second            // changes nobody waits for are gathered so long
	coalesceUrgent          = 2 * units.Millisecond   // submissions that come together are saved together
	backgroundWriteInterval = 200 * units.Millisecond // for the changes nobody waits for
	// maxBatchWait bounds for how many changes the rate of writes must have room before a
	// save is built. Fewer would be many small transactions; more would let what comes
	// meanwhile wait longer.
	maxBatchWait = 4
	// writeBudgetRetry is until the rate is looked at again.
	writeBudgetRetry = 50 * units.Millisecond
)

// Run writes changed records.
func (p *Persister) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := backgroundWriteInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.WriteSignal:
			if !loop.Sleep(ctx, coalesceUrgent) {
				return
			}
		case <-time.After(tick.Duration()):
		}
		tick = backgroundWriteInterval
		for {
			if p.KV.WritesAvailable() < p.minBatchChanges() {
				tick = writeBudgetRetry
				break
			}
			s := p.nextBatch()
			if s == nil {
				break
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.CommitBatch(ctx, s)
				p.State.Lock()
				p.writesInFlight--
				p.State.Unlock()
				p.WriteSignal.Raise()
			}()
		}
	}
}

// minBatchChanges is for how many changes the rate of writes must have room before a save is
// built.
func (p *Persister) minBatchChanges() int {
	return min(maxBatchWait, p.Settings.Fleet.State.Both().TxnOps)
}

// nextBatch builds the next save if one may be sent now, and counts its writes. It is built
// only once the rate of writes has room for it: what waits for the rate can still be
// overtaken by what a user waits for, what is built can not.
func (p *Persister) nextBatch() *cluster.WriteBatch {
	p.State.Lock()
	defer p.State.Unlock()
	if p.writesInFlight >= maxWritesInFlight {
		return nil
	}
	now := p.Clock.Steady()
	p.State.UpgradeFormat(p.Format.Current(), now)
	s := p.State.BuildWriteBatch(p.NextWriteID(), p.bucketVersions, cluster.BatchLimits{
		CoalesceFor: coalesceBackground,
		Background:  p.KV.HasWriteBudget(),
		MaxChanges:  max(p.minBatchChanges(), p.KV.WritesAvailable()),
	}, now)
	if s == nil {
		return nil
	}
	p.writesInFlight++
	p.KV.ReserveWrites(len(s.Txn.Then))
	return s
}

// Backoff of a save whose outcome is open, and of a read that an outcome hangs on.
const (
	commitBackoff    = 100 * units.Millisecond
	maxCommitBackoff = 400 * units.Millisecond
	ReadRetryDelay   = 200 * units.Millisecond
)

// CommitBatch carries a save through. A save without an answer may be carried out
// at any later time, so the very same one is sent until its outcome is known:
// its conditions see to it that it happens once.
func (p *Persister) CommitBatch(ctx context.Context, s *cluster.WriteBatch) {
	uncertain := false
	began := p.Clock.Steady()
	pacing := kv.Prepaid
	for wait := commitBackoff; ; wait = min(2*wait, maxCommitBackoff) {
		version, err := p.KV.CompareAndSwap(ctx, s.Txn, pacing, kv.CallTimeout)
		pacing = kv.Paced
		if err == nil {
			if p.Tracer.Enabled() {
				p.Log.Debug("save carried out", "jobs", s.JobIDs(), "changes", len(s.Txn.Then),
					"took_us", int64(p.Clock.Steady()-began))
			}
			p.BatchCommitted(s, version)
			return
		}
		var conflict *kv.VersionConflictError
		switch {
		case errors.As(err, &conflict):
			if uncertain && s.ProbeKey() != "" {
				version, ours, err := p.probeOutcome(ctx, s)
				if err != nil {
					break
				}
				if ours {
					p.BatchCommitted(s, version)
					return
				}
			}
			p.batchConflicted(ctx, s, conflict)
			return
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case errors.Is(err, kv.ErrInvalidRequest):
			p.batchRejected(ctx, s, uncertain)
			return
		case !errors.Is(err, kv.ErrRefused):
			p.Log.Error("save not understood", "jobs", s.JobIDs(), "error", err)
			uncertain = true
		}
		if !loop.Sleep(ctx, wait) {
			return
		}
	}
}

// RejectedRetryDelay spaces saves that the state service does not take.
const RejectedRetryDelay = 400 * units.Millisecond

// batchRejected handles a save that the state service will not take as it is: it has
// lower limits now. The save is built anew. But one that was sent before and got
// no answer may have been carried out, or may be still.
func (p *Persister) batchRejected(ctx context.Context, s *cluster.WriteBatch, uncertain bool) {
	for uncertain {
		version, ours, err := p.probeOutcome(ctx, s)
		if err == nil && ours {
			p.BatchCommitted(s, version)
			return
		}
		if err == nil {
			// Only a new term's claim makes certain that it never is.
			p.Log.Info("save rejected after a try without an answer; the term is given up", "jobs", s.JobIDs())
			p.Leadership.StepDown()
			return
		}
		if !loop.Sleep(ctx, RejectedRetryDelay) {
			return
		}
	}
	p.State.Lock()
	first := p.State.ApplyNextLimits()
	p.State.Unlock()
	p.KV.ApplyNextLimits()
	p.Log.Error("save rejected; it is built anew", "jobs", s.JobIDs(), "changes", len(s.Txn.Then), "limits_lowered", first)
	if !first && !loop.Sleep(ctx, RejectedRetryDelay) {
		return
	}
	p.State.Lock()
	defer p.State.Unlock()
	p.State.BatchRejected(s, p.Clock.Steady())
}

func (p *Persister) probeOutcome(ctx context.Context, s *cluster.WriteBatch) (uint64, bool, error) {
	item, ok, err := p.KV.Get(ctx, s.ProbeKey(), kv.CallTimeout)
	if err != nil || !ok {
		return 0, false, err
	}
	save, err := writeIDOf(item.Value)
	if err != nil {
		return 0, false, err
	}
	return item.Version, save == s.ID, nil
}

func (p *Persister) BatchCommitted(s *cluster.WriteBatch, version uint64) {
	p.State.Lock()
	defer p.State.Unlock()
	for id, f := range p.State.BatchCommitted(s, version) {
		p.Terminals.Remember(id, storage.StoredTerminalRecord{TerminalRecord: f, Version: version})
		p.Log.Info("job over", "job", id, "stage", f.Stage, "done", f.Done)
	}
	p.CycleSignal.Raise()
}

// batchConflicted handles a save that was certainly not carried out: it submits the id of a
// job that is over, or it accepts a job by an admission plan that has been replaced, or
// somebody else has claimed our buckets and this term is at its end.
func (p *Persister) batchConflicted(ctx context.Context, s *cluster.WriteBatch, c *kv.VersionConflictError) {
	over := map[string]storage.StoredTerminalRecord{}
	planMet := false
	for _, key := range c.Keys {
		if key == admission.KeyPlan {
			planMet = true
			continue
		}
		id, isFinal := storage.JobOfTerminalKey(key)
		if !isFinal {
			if p.Leadership.Valid() {
				p.Log.Error("save met another writer's version; the term is given up", "keys", c.Keys, "jobs", s.JobIDs())
			}
			p.Leadership.StepDown()
			return
		}
		for {
			f, ok, err := p.Terminals.readTerminal(ctx, id)
			if err == nil {
				if ok {
					over[id] = f
				}
				break
			}
			if !loop.Sleep(ctx, ReadRetryDelay) {
				return
			}
		}
	}
	p.State.Lock()
	p.State.BatchRefused(s, p.Clock.Steady())
	if planMet {
		p.Admission.Reconsider()
	}
	p.State.Unlock()
	if planMet {
		p.Admission.RereadPlan(ctx)
	}
	p.State.Lock()
	defer p.State.Unlock()
	for id, f := range over {
		p.Terminals.Remember(id, f)
		p.State.DropUnaccepted(id)
		p.Ingester.pendingUncleared.Store(true) // it may have come from there
	}
}

// BucketVersion is the version of a bucket's head.
func (p *Persister) BucketVersion(bucket int) uint64 {
	p.State.Lock()
	defer p.State.Unlock()
	return p.bucketVersions[bucket]
}

// Restored returns a channel that is closed once the records are restored.
func (p *Persister) Restored() <-chan struct{} { return p.restored }

// BucketVersions returns the versions of all buckets' heads, as this leader claimed them. It
// needs the lock of the state held; the slice is the persister's own.
func (p *Persister) BucketVersions() []uint64 { return p.bucketVersions }
