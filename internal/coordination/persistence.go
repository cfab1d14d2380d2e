package coordination

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

func (t *Leader) nextWriteID() string {
	t.writes++
	return fmt.Sprintf("%d-%d", t.token, t.writes)
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
func (t *Leader) writeLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := backgroundWriteInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.writeSignal:
			if !sleep(ctx, coalesceUrgent) {
				return
			}
		case <-time.After(tick.Duration()):
		}
		tick = backgroundWriteInterval
		for {
			if t.KV.WritesAvailable() < t.minBatchChanges() {
				tick = writeBudgetRetry
				break
			}
			s := t.nextBatch()
			if s == nil {
				break
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				t.commitBatch(ctx, s)
				t.mu.Lock()
				t.writesInFlight--
				t.mu.Unlock()
				raise(t.writeSignal)
			}()
		}
	}
}

// minBatchChanges is for how many changes the rate of writes must have room before a save is
// built.
func (t *Leader) minBatchChanges() int {
	return min(maxBatchWait, t.Settings.Fleet.State.Both().TxnOps)
}

// nextBatch builds the next save if one may be sent now, and counts its writes. It is built
// only once the rate of writes has room for it: what waits for the rate can still be
// overtaken by what a user waits for, what is built can not.
func (t *Leader) nextBatch() *cluster.WriteBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writesInFlight >= maxWritesInFlight {
		return nil
	}
	now := t.Clock.Steady()
	t.state.UpgradeFormat(t.Format.Current(), now)
	s := t.state.BuildWriteBatch(t.nextWriteID(), t.bucketVersions, cluster.BatchLimits{
		CoalesceFor: coalesceBackground,
		Background:  t.KV.HasWriteBudget(),
		MaxChanges:  max(t.minBatchChanges(), t.KV.WritesAvailable()),
	}, now)
	if s == nil {
		return nil
	}
	t.writesInFlight++
	t.KV.ReserveWrites(len(s.Txn.Then))
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
func (t *Leader) commitBatch(ctx context.Context, s *cluster.WriteBatch) {
	uncertain := false
	began := t.Clock.Steady()
	pacing := kv.Prepaid
	for wait := commitBackoff; ; wait = min(2*wait, maxCommitBackoff) {
		version, err := t.KV.CompareAndSwap(ctx, s.Txn, pacing, kvTimeout)
		pacing = kv.Paced
		if err == nil {
			if t.traceAttempts {
				t.Log.Debug("save carried out", "jobs", s.JobIDs(), "changes", len(s.Txn.Then),
					"took_us", int64(t.Clock.Steady()-began))
			}
			t.batchCommitted(s, version)
			return
		}
		var conflict *kv.VersionConflictError
		switch {
		case errors.As(err, &conflict):
			if uncertain && s.ProbeKey() != "" {
				version, ours, err := t.probeOutcome(ctx, s)
				if err != nil {
					break
				}
				if ours {
					t.batchCommitted(s, version)
					return
				}
			}
			t.batchConflicted(ctx, s, conflict)
			return
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case errors.Is(err, kv.ErrInvalidRequest):
			t.batchRejected(ctx, s, uncertain)
			return
		case !errors.Is(err, kv.ErrRefused):
			t.Log.Error("save not understood", "jobs", s.JobIDs(), "error", err)
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
func (t *Leader) batchRejected(ctx context.Context, s *cluster.WriteBatch, uncertain bool) {
	for uncertain {
		version, ours, err := t.probeOutcome(ctx, s)
		if err == nil && ours {
			t.batchCommitted(s, version)
			return
		}
		if err == nil {
			// Only a new term's claim makes certain that it never is.
			t.Log.Info("save rejected after a try without an answer; the term is given up", "jobs", s.JobIDs())
			t.Elector.StepDown()
			return
		}
		if !sleep(ctx, rejectedRetryDelay) {
			return
		}
	}
	t.mu.Lock()
	first := t.state.ApplyNextLimits()
	t.mu.Unlock()
	t.KV.ApplyNextLimits()
	t.Log.Error("save rejected; it is built anew", "jobs", s.JobIDs(), "changes", len(s.Txn.Then), "limits_lowered", first)
	if !first && !sleep(ctx, rejectedRetryDelay) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.BatchRejected(s, t.Clock.Steady())
}

func (t *Leader) probeOutcome(ctx context.Context, s *cluster.WriteBatch) (uint64, bool, error) {
	item, ok, err := t.KV.Get(ctx, s.ProbeKey(), kvTimeout)
	if err != nil || !ok {
		return 0, false, err
	}
	save, err := writeIDOf(item.Value)
	if err != nil {
		return 0, false, err
	}
	return item.Version, save == s.ID, nil
}

func (t *Leader) batchCommitted(s *cluster.WriteBatch, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.state.BatchCommitted(s, version) {
		t.terminalJobs.put(id, storage.StoredTerminalRecord{TerminalRecord: f, Version: version})
		t.Log.Info("job over", "job", id, "stage", f.Stage, "done", f.Done)
	}
	raise(t.cycleSignal)
}

// batchConflicted handles a save that was certainly not carried out: it submits the id of a
// job that is over, or it accepts a job by an admission plan that has been replaced, or
// somebody else has claimed our buckets and this term is at its end.
func (t *Leader) batchConflicted(ctx context.Context, s *cluster.WriteBatch, c *kv.VersionConflictError) {
	over := map[string]storage.StoredTerminalRecord{}
	planMet := false
	for _, key := range c.Keys {
		if key == admission.KeyPlan {
			planMet = true
			continue
		}
		id, isFinal := storage.JobOfTerminalKey(key)
		if !isFinal {
			if t.Elector.Valid(t.token) {
				t.Log.Error("save met another writer's version; the term is given up", "keys", c.Keys, "jobs", s.JobIDs())
			}
			t.Elector.StepDown()
			return
		}
		for {
			f, ok, err := t.readTerminal(ctx, id)
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
	t.mu.Lock()
	t.state.BatchRefused(s, t.Clock.Steady())
	if planMet {
		t.reconsiderAdmissions()
	}
	t.mu.Unlock()
	if planMet {
		t.admission.publisher.rereadRecord(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range over {
		t.terminalJobs.put(id, f)
		t.state.DropUnaccepted(id)
		t.pendingUncleared.Store(true) // it may have come from there
	}
}
