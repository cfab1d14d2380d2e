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

func (t *Term) saveID() string {
	t.saves++
	return fmt.Sprintf("%d-%d", t.number, t.saves)
}

const (
	maxSaving  = 3                       // saves on their way at a time
	lazySave   = units.Second            // changes nobody waits for are gathered so long
	saveGather = 2 * units.Millisecond   // submissions that come together are saved together
	saveTick   = 200 * units.Millisecond // for the changes nobody waits for
	// mostAwaited bounds for how many changes the rate of writes must have room before a
	// save is built. Fewer would be many small transactions; more would let what comes
	// meanwhile wait longer.
	mostAwaited = 4
	// writesRetry is until the rate is looked at again.
	writesRetry = 50 * units.Millisecond
)

// saveLoop writes changed records.
func (t *Term) saveLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := saveTick
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.saveSignal:
			if !pause(ctx, saveGather) {
				return
			}
		case <-time.After(tick.Duration()):
		}
		tick = saveTick
		for {
			if t.Store.WritesAvailable() < t.leastChanges() {
				tick = writesRetry
				break
			}
			s := t.startSave()
			if s == nil {
				break
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				t.commit(ctx, s)
				t.mu.Lock()
				t.saving--
				t.mu.Unlock()
				signal(t.saveSignal)
			}()
		}
	}
}

// leastChanges is for how many changes the rate of writes must have room before a save is
// built.
func (t *Term) leastChanges() int { return min(mostAwaited, t.Settings.Fleet.State.Both().TxnOps) }

// startSave builds the next save if one may be sent now, and counts its writes. It is built
// only once the rate of writes has room for it: what waits for the rate can still be
// overtaken by what a user waits for, what is built can not.
func (t *Term) startSave() *cluster.WriteBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving >= maxSaving {
		return nil
	}
	now := t.Clock.Steady()
	t.ledger.UpgradeFormat(t.Format.Level(), now)
	s := t.ledger.BuildWriteBatch(t.saveID(), t.bucketVersions, cluster.BatchLimits{
		CoalesceFor: lazySave,
		Background:  t.Store.HasWriteBudget(),
		MaxChanges:  max(t.leastChanges(), t.Store.WritesAvailable()),
	}, now)
	if s == nil {
		return nil
	}
	t.saving++
	t.Store.ReserveWrites(len(s.Txn.Then))
	return s
}

// Backoff of a save whose outcome is open, and of a read that an outcome hangs on.
const (
	commitBackoff    = 100 * units.Millisecond
	maxCommitBackoff = 400 * units.Millisecond
	readRetry        = 200 * units.Millisecond
)

// commit carries a save through. A save without an answer may be carried out
// at any later time, so the very same one is sent until its outcome is known:
// its conditions see to it that it happens once.
func (t *Term) commit(ctx context.Context, s *cluster.WriteBatch) {
	uncertain := false
	began := t.Clock.Steady()
	pacing := kv.Prepaid
	for wait := commitBackoff; ; wait = min(2*wait, maxCommitBackoff) {
		version, err := t.Store.CompareAndSwap(ctx, s.Txn, pacing, stateCall)
		pacing = kv.Paced
		if err == nil {
			if t.traces {
				t.Log.Debug("save carried out", "jobs", s.JobIDs(), "changes", len(s.Txn.Then),
					"took_us", int64(t.Clock.Steady()-began))
			}
			t.applied(s, version)
			return
		}
		var conflict *kv.VersionConflictError
		switch {
		case errors.As(err, &conflict):
			if uncertain && s.ProbeKey() != "" {
				version, ours, err := t.probe(ctx, s)
				if err != nil {
					break
				}
				if ours {
					t.applied(s, version)
					return
				}
			}
			t.conflicted(ctx, s, conflict)
			return
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case errors.Is(err, kv.ErrInvalidRequest):
			t.rejected(ctx, s, uncertain)
			return
		case !errors.Is(err, kv.ErrRefused):
			t.Log.Error("save not understood", "jobs", s.JobIDs(), "error", err)
			uncertain = true
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// rejectedPause spaces saves that the state service does not take.
const rejectedPause = 400 * units.Millisecond

// rejected handles a save that the state service will not take as it is: it has
// lower limits now. The save is built anew. But one that was sent before and got
// no answer may have been carried out, or may be still.
func (t *Term) rejected(ctx context.Context, s *cluster.WriteBatch, uncertain bool) {
	for uncertain {
		version, ours, err := t.probe(ctx, s)
		if err == nil && ours {
			t.applied(s, version)
			return
		}
		if err == nil {
			// Only a new term's claim makes certain that it never is.
			t.Log.Info("save rejected after a try without an answer; the term is given up", "jobs", s.JobIDs())
			t.Lease.Resign()
			return
		}
		if !pause(ctx, rejectedPause) {
			return
		}
	}
	t.mu.Lock()
	first := t.ledger.ApplyNextLimits()
	t.mu.Unlock()
	t.Store.ApplyNextLimits()
	t.Log.Error("save rejected; it is built anew", "jobs", s.JobIDs(), "changes", len(s.Txn.Then), "limits_lowered", first)
	if !first && !pause(ctx, rejectedPause) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.BatchRejected(s, t.Clock.Steady())
}

func (t *Term) probe(ctx context.Context, s *cluster.WriteBatch) (uint64, bool, error) {
	item, ok, err := t.Store.Get(ctx, s.ProbeKey(), stateCall)
	if err != nil || !ok {
		return 0, false, err
	}
	save, err := saveOf(item.Value)
	if err != nil {
		return 0, false, err
	}
	return item.Version, save == s.ID, nil
}

func (t *Term) applied(s *cluster.WriteBatch, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.ledger.BatchCommitted(s, version) {
		t.finals.put(id, storage.StoredTerminalRecord{TerminalRecord: f, Version: version})
		t.Log.Info("job over", "job", id, "stage", f.Stage, "done", f.Done)
	}
	signal(t.roundSignal)
}

// conflicted handles a save that was certainly not carried out: it submits the id of a
// job that is over, or it accepts a job by an admission plan that has been replaced, or
// somebody else has claimed our buckets and this term is at its end.
func (t *Term) conflicted(ctx context.Context, s *cluster.WriteBatch, c *kv.VersionConflictError) {
	over := map[string]storage.StoredTerminalRecord{}
	planMet := false
	for _, key := range c.Keys {
		if key == admission.KeyPlan {
			planMet = true
			continue
		}
		id, isFinal := storage.JobOfTerminalKey(key)
		if !isFinal {
			if t.Lease.Valid(t.number) {
				t.Log.Error("save met another writer's version; the term is given up", "keys", c.Keys, "jobs", s.JobIDs())
			}
			t.Lease.Resign()
			return
		}
		for {
			f, ok, err := t.readFinal(ctx, id)
			if err == nil {
				if ok {
					over[id] = f
				}
				break
			}
			if !pause(ctx, readRetry) {
				return
			}
		}
	}
	t.mu.Lock()
	t.ledger.BatchRefused(s, t.Clock.Steady())
	if planMet {
		t.decideAnew()
	}
	t.mu.Unlock()
	if planMet {
		t.admission.publisher.reread(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range over {
		t.finals.put(id, f)
		t.ledger.DropUnaccepted(id)
		t.inboxUncleared.Store(true) // it may have come from there
	}
}
