package coordination

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
	"dunestand/internal/kv"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Persister writes changed records to the key-value store and reads them back after a
// failover. Only the leader's persister writes the records of jobs: every batch is
// conditional on the heads of the jobs' buckets, which this leader has claimed.
type Persister struct {
	state       *cluster.State
	leadership  Leadership
	autoscaler  *Autoscaler
	ingester    *Ingester
	terminals   *TerminalJobs
	admission   *LeaderAdmission
	settings    *config.Settings
	kv          *kv.Client
	format      *FormatNegotiator
	clock       units.Clock
	log         *slog.Logger
	tracer      cluster.AttemptTracer
	token       uint64
	electedAt   units.Micros
	writeSignal chan struct{}
	cycleSignal chan struct{}

	restored chan struct{} // closed once the records are restored

	// What follows is guarded by the lock of state.
	writes         uint64 // numbers the batches
	writesInFlight int
	bucketVersions []uint64 // of the buckets' heads, as this leader claimed them
}

func newPersister(l *Leader, tracer cluster.AttemptTracer) *Persister {
	return &Persister{
		state:          l.state,
		leadership:     l.leadership,
		autoscaler:     l.autoscaler,
		ingester:       l.ingester,
		terminals:      l.terminals,
		settings:       l.Settings,
		kv:             l.KV,
		format:         l.Format,
		clock:          l.Clock,
		log:            l.Log,
		tracer:         tracer,
		token:          l.token,
		electedAt:      l.electedAt,
		writeSignal:    l.writeSignal,
		cycleSignal:    l.cycleSignal,
		restored:       make(chan struct{}),
		bucketVersions: make([]uint64, storage.Buckets),
	}
}

func (p *Persister) nextWriteID() string {
	p.writes++
	return fmt.Sprintf("%d-%d", p.token, p.writes)
}

const (
	maxWritesInFlight       = 3                       // writes on their way at a time
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

// writeLoop writes changed records.
func (p *Persister) writeLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := backgroundWriteInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.writeSignal:
			if !sleep(ctx, coalesceUrgent) {
				return
			}
		case <-time.After(tick.Duration()):
		}
		tick = backgroundWriteInterval
		for {
			if p.kv.WritesAvailable() < p.minBatchChanges() {
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
				p.commitBatch(ctx, s)
				p.state.Lock()
				p.writesInFlight--
				p.state.Unlock()
				raise(p.writeSignal)
			}()
		}
	}
}

// minBatchChanges is for how many changes the rate of writes must have room before a save is
// built.
func (p *Persister) minBatchChanges() int {
	return min(maxBatchWait, p.settings.Fleet.State.Both().TxnOps)
}

// nextBatch builds the next save if one may be sent now, and counts its writes. It is built
// only once the rate of writes has room for it: what waits for the rate can still be
// overtaken by what a user waits for, what is built can not.
func (p *Persister) nextBatch() *cluster.WriteBatch {
	p.state.Lock()
	defer p.state.Unlock()
	if p.writesInFlight >= maxWritesInFlight {
		return nil
	}
	now := p.clock.Steady()
	p.state.UpgradeFormat(p.format.Current(), now)
	s := p.state.BuildWriteBatch(p.nextWriteID(), p.bucketVersions, cluster.BatchLimits{
		CoalesceFor: coalesceBackground,
		Background:  p.kv.HasWriteBudget(),
		MaxChanges:  max(p.minBatchChanges(), p.kv.WritesAvailable()),
	}, now)
	if s == nil {
		return nil
	}
	p.writesInFlight++
	p.kv.ReserveWrites(len(s.Txn.Then))
	return s
}

// Backoff of a save whose outcome is open, and of a read that an outcome hangs on.
const (
	commitBackoff    = 100 * units.Millisecond
	maxCommitBackoff = 400 * units.Millisecond
	readRetryDelay   = 200 * units.Millisecond
)

// commitBatch carries a save through. A save without an answer may be carried out
// at any later time, so the very same one is sent until its outcome is known:
// its conditions see to it that it happens once.
func (p *Persister) commitBatch(ctx context.Context, s *cluster.WriteBatch) {
	uncertain := false
	began := p.clock.Steady()
	pacing := kv.Prepaid
	for wait := commitBackoff; ; wait = min(2*wait, maxCommitBackoff) {
		version, err := p.kv.CompareAndSwap(ctx, s.Txn, pacing, kvTimeout)
		pacing = kv.Paced
		if err == nil {
			if p.tracer.Enabled() {
				p.log.Debug("save carried out", "jobs", s.JobIDs(), "changes", len(s.Txn.Then),
					"took_us", int64(p.clock.Steady()-began))
			}
			p.batchCommitted(s, version)
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
					p.batchCommitted(s, version)
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
			p.log.Error("save not understood", "jobs", s.JobIDs(), "error", err)
			uncertain = true
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// rejectedRetryDelay spaces saves that the state service does not take.
const rejectedRetryDelay = 400 * units.Millisecond

// batchRejected handles a save that the state service will not take as it is: it has
// lower limits now. The save is built anew. But one that was sent before and got
// no answer may have been carried out, or may be still.
func (p *Persister) batchRejected(ctx context.Context, s *cluster.WriteBatch, uncertain bool) {
	for uncertain {
		version, ours, err := p.probeOutcome(ctx, s)
		if err == nil && ours {
			p.batchCommitted(s, version)
			return
		}
		if err == nil {
			// Only a new term's claim makes certain that it never is.
			p.log.Info("save rejected after a try without an answer; the term is given up", "jobs", s.JobIDs())
			p.leadership.StepDown()
			return
		}
		if !sleep(ctx, rejectedRetryDelay) {
			return
		}
	}
	p.state.Lock()
	first := p.state.ApplyNextLimits()
	p.state.Unlock()
	p.kv.ApplyNextLimits()
	p.log.Error("save rejected; it is built anew", "jobs", s.JobIDs(), "changes", len(s.Txn.Then), "limits_lowered", first)
	if !first && !sleep(ctx, rejectedRetryDelay) {
		return
	}
	p.state.Lock()
	defer p.state.Unlock()
	p.state.BatchRejected(s, p.clock.Steady())
}

func (p *Persister) probeOutcome(ctx context.Context, s *cluster.WriteBatch) (uint64, bool, error) {
	item, ok, err := p.kv.Get(ctx, s.ProbeKey(), kvTimeout)
	if err != nil || !ok {
		return 0, false, err
	}
	save, err := writeIDOf(item.Value)
	if err != nil {
		return 0, false, err
	}
	return item.Version, save == s.ID, nil
}

func (p *Persister) batchCommitted(s *cluster.WriteBatch, version uint64) {
	p.state.Lock()
	defer p.state.Unlock()
	for id, f := range p.state.BatchCommitted(s, version) {
		p.terminals.terminalJobs.put(id, storage.StoredTerminalRecord{TerminalRecord: f, Version: version})
		p.log.Info("job over", "job", id, "stage", f.Stage, "done", f.Done)
	}
	raise(p.cycleSignal)
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
			if p.leadership.Valid() {
				p.log.Error("save met another writer's version; the term is given up", "keys", c.Keys, "jobs", s.JobIDs())
			}
			p.leadership.StepDown()
			return
		}
		for {
			f, ok, err := p.terminals.readTerminal(ctx, id)
			if err == nil {
				if ok {
					over[id] = f
				}
				break
			}
			if !sleep(ctx, readRetryDelay) {
				return
			}
		}
	}
	p.state.Lock()
	p.state.BatchRefused(s, p.clock.Steady())
	if planMet {
		p.admission.reconsiderAdmissions()
	}
	p.state.Unlock()
	if planMet {
		p.admission.publisher.rereadRecord(ctx)
	}
	p.state.Lock()
	defer p.state.Unlock()
	for id, f := range over {
		p.terminals.terminalJobs.put(id, f)
		p.state.DropUnaccepted(id)
		p.ingester.pendingUncleared.Store(true) // it may have come from there
	}
}

// bucketVersion is the version of a bucket's head.
func (p *Persister) bucketVersion(bucket int) uint64 {
	p.state.Lock()
	defer p.state.Unlock()
	return p.bucketVersions[bucket]
}
