package persister

import (
	"context"
	"errors"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

const (
	// The backoff of a batch that is sent again.
	commitBackoff    = 100 * units.Millisecond
	maxCommitBackoff = 400 * units.Millisecond
	// ReadRetryDelay is until a read is tried again that the outcome of a batch, or the
	// restore, depends on.
	ReadRetryDelay = 200 * units.Millisecond
	// RejectedRetryDelay spaces the tries of batches that the key-value store rejects.
	RejectedRetryDelay = 400 * units.Millisecond
)

// CommitBatch sends a batch until its outcome is known and applies the outcome to the state, or
// gives up when ctx ends. A batch without an answer may be carried out at any later time, so the
// very same one is sent again: its conditions ensure that it happens once. Its writes must have
// been reserved. It must be called without the lock of the state.
func (p *Persister) CommitBatch(ctx context.Context, batch *cluster.WriteBatch) {
	began := p.Clock.Steady()
	pacing, uncertain := kv.Reserved, false
	for backoff := commitBackoff; ; backoff = min(2*backoff, maxCommitBackoff) {
		version, err := p.KV.CompareAndSwap(ctx, batch.Txn, pacing, kv.CallTimeout)
		pacing = kv.Paced
		var conflict *kv.VersionConflictError
		switch {
		case err == nil:
			p.traceCommit(batch, began)
			p.BatchCommitted(batch, version)
			return
		case errors.As(err, &conflict):
			if p.resolveConflict(ctx, batch, conflict, uncertain) {
				return
			}
		case errors.Is(err, kv.ErrOutcomeUnknown):
			uncertain = true
		case errors.Is(err, kv.ErrInvalidRequest):
			p.batchRejected(ctx, batch, uncertain)
			return
		case !errors.Is(err, kv.ErrRefused):
			p.Log.Error("response to a write batch not understood", "jobs", batch.JobIDs(), "error", err)
			uncertain = true
		}
		if !loop.Sleep(ctx, backoff) {
			return
		}
	}
}

func (p *Persister) traceCommit(batch *cluster.WriteBatch, began units.Micros) {
	if p.Tracer.Enabled() {
		p.Log.Debug("write batch committed", "jobs", batch.JobIDs(), "changes", len(batch.Txn.Then),
			"took_us", int64(p.Clock.Steady()-began))
	}
}

// BatchCommitted applies to the state that a batch was carried out at a version. It must be
// called without the lock of the state.
func (p *Persister) BatchCommitted(batch *cluster.WriteBatch, version uint64) {
	p.State.Lock()
	defer p.State.Unlock()
	for id, record := range p.State.BatchCommitted(batch, version) {
		p.Terminals.Remember(id, storage.StoredTerminalRecord{TerminalRecord: record, Version: version})
		p.Log.Info("job finished", "job", id, "stage", record.Stage, "done", record.Done)
	}
	p.CycleSignal.Raise()
}

// resolveConflict handles a batch that met another version of a record. uncertain says that an
// earlier try got no answer: then that one may have been carried out. It reports whether
// the batch is done with; if not, it is to be sent again.
func (p *Persister) resolveConflict(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError, uncertain bool) bool {
	if uncertain && batch.ProbeKey() != "" {
		version, ours, err := p.probeOutcome(ctx, batch)
		if err != nil {
			return false
		}
		if ours {
			p.BatchCommitted(batch, version)
			return true
		}
	}
	p.batchConflicted(ctx, batch, conflict)
	return true
}

// probeOutcome reads a record of a batch to find out whether the batch was carried out, and at
// which version.
func (p *Persister) probeOutcome(ctx context.Context, batch *cluster.WriteBatch) (version uint64, ours bool, err error) {
	item, ok, err := p.KV.Get(ctx, batch.ProbeKey(), kv.CallTimeout)
	if err != nil || !ok {
		return 0, false, err
	}
	id, err := writeIDOf(item.Value)
	if err != nil {
		return 0, false, err
	}
	return item.Version, id == batch.ID, nil
}

// conflictCauses is what a batch that was certainly not carried out has met.
type conflictCauses struct {
	plan     bool // another admission plan than the one that its jobs were accepted by
	finished map[string]storage.StoredTerminalRecord
}

// batchConflicted applies a conflict: the batch was certainly not carried out. Its causes: a new
// job has the ID of a finished one; the admission plan that a job was accepted by was replaced;
// or another leader claimed the buckets, and this one steps down.
func (p *Persister) batchConflicted(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError) {
	causes, ok := p.findCauses(ctx, batch, conflict)
	if !ok {
		return
	}
	p.State.Lock()
	p.State.BatchConflicted(batch, p.Clock.Steady())
	if causes.plan {
		p.Admission.Reconsider()
	}
	p.State.Unlock()
	if causes.plan {
		p.Admission.RereadPlan(ctx)
	}
	p.State.Lock()
	defer p.State.Unlock()
	for id, record := range causes.finished {
		p.Terminals.Remember(id, record)
		p.State.DropUnaccepted(id)
		p.Ingester.resyncNeeded.Store(true) // it may have come from there
	}
}

// findCauses returns what a batch has met; false if the leader steps down, or ctx ended.
func (p *Persister) findCauses(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError) (conflictCauses, bool) {
	causes := conflictCauses{finished: map[string]storage.StoredTerminalRecord{}}
	for _, key := range conflict.Keys {
		if key == admission.KeyPlan {
			causes.plan = true
			continue
		}
		id, isTerminal := storage.JobOfTerminalKey(key)
		if !isTerminal {
			if p.Leadership.Valid() {
				p.Log.Error("write batch conflicts with another writer; stepping down", "keys", conflict.Keys, "jobs", batch.JobIDs())
			}
			p.Leadership.StepDown()
			return conflictCauses{}, false
		}
		if !p.readFinished(ctx, id, causes.finished) {
			return conflictCauses{}, false
		}
	}
	return causes, true
}

// readFinished adds the terminal record of a job to those found, if there is one. It tries until
// the read is answered, and reports whether it was before ctx ended.
func (p *Persister) readFinished(ctx context.Context, id string, found map[string]storage.StoredTerminalRecord) bool {
	for {
		record, ok, err := p.Terminals.read(ctx, id)
		if err == nil {
			if ok {
				found[id] = record
			}
			return true
		}
		if !loop.Sleep(ctx, ReadRetryDelay) {
			return false
		}
	}
}

// batchRejected handles a batch that the key-value store will not accept as it is, as the store
// has lower limits now. The batch is built anew. But where an earlier try got no answer, that one
// may have been carried out, or may be still.
func (p *Persister) batchRejected(ctx context.Context, batch *cluster.WriteBatch, uncertain bool) {
	if uncertain {
		p.resolveRejected(ctx, batch)
		return
	}
	p.State.Lock()
	first := p.State.ApplyNextLimits()
	p.State.Unlock()
	p.KV.ApplyNextLimits()
	p.Log.Error("write batch rejected; rebuilding it", "jobs", batch.JobIDs(), "changes", len(batch.Txn.Then), "limits_lowered", first)
	if !first && !loop.Sleep(ctx, RejectedRetryDelay) {
		return
	}
	p.State.Lock()
	defer p.State.Unlock()
	p.State.BatchRejected(batch, p.Clock.Steady())
}

// resolveRejected finds out whether an earlier try of a batch that is now rejected was carried
// out. If it was not, only the claim of a next leader makes certain that it never is, and this
// leader steps down.
func (p *Persister) resolveRejected(ctx context.Context, batch *cluster.WriteBatch) {
	for {
		version, ours, err := p.probeOutcome(ctx, batch)
		switch {
		case err == nil && ours:
			p.BatchCommitted(batch, version)
			return
		case err == nil:
			p.Log.Info("write batch rejected after an unanswered try; stepping down", "jobs", batch.JobIDs())
			p.Leadership.StepDown()
			return
		}
		if !loop.Sleep(ctx, RejectedRetryDelay) {
			return
		}
	}
}
