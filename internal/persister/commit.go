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
	// Initial and maximum backoff between two requests that send the same batch.
	commitBackoff    = 100 * units.Millisecond
	maxCommitBackoff = 400 * units.Millisecond
	// ReadRetryDelay is the delay before a failed Restore, or a failed read on which the
	// outcome of a batch depends, is retried.
	ReadRetryDelay = 200 * units.Millisecond
	// RejectedRetryDelay is the delay before a batch that the key-value store rejected is rebuilt
	// for unchanged limits, or before a failed read of its outcome is retried. If the rejection
	// lowers the limits of write batches, the batch is rebuilt without delay.
	RejectedRetryDelay = 400 * units.Millisecond
)

// CommitBatch sends a batch until its outcome is known, and applies the outcome to the state. It
// returns early when ctx ends. A request without a response may still be committed at any later
// time, so the same batch is sent again: its conditions ensure that it is committed at most once.
// The writes of the batch must have been reserved. CommitBatch must be called without the state
// lock.
func (p *Persister) CommitBatch(ctx context.Context, batch *cluster.WriteBatch) {
	started := p.Clock.Steady()
	pacing, outcomeUnknown := kv.Reserved, false
	for backoff := commitBackoff; ; backoff = min(2*backoff, maxCommitBackoff) {
		version, err := p.KV.CompareAndSwap(ctx, batch.Txn, pacing, kv.CallTimeout)
		pacing = kv.Paced
		var conflict *kv.VersionConflictError
		switch {
		case err == nil:
			p.traceCommit(batch, started)
			p.BatchCommitted(batch, version)
			return
		case errors.As(err, &conflict):
			if p.resolveConflict(ctx, batch, conflict, outcomeUnknown) {
				return
			}
		case errors.Is(err, kv.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, kv.ErrInvalidRequest):
			p.batchRejected(ctx, batch, outcomeUnknown)
			return
		case !errors.Is(err, kv.ErrRefused):
			p.Log.Error("unexpected error from the key-value store for a write batch", "jobs", batch.JobIDs(), "error", err)
			outcomeUnknown = true
		}
		if !loop.Sleep(ctx, backoff) {
			return
		}
	}
}

func (p *Persister) traceCommit(batch *cluster.WriteBatch, started units.Micros) {
	if p.Tracer.Enabled() {
		p.Log.Debug("write batch committed", "jobs", batch.JobIDs(), "changes", len(batch.Txn.Then),
			"took_us", int64(p.Clock.Steady()-started))
	}
}

// BatchCommitted applies to the state a batch that was committed, with the version of its records.
// It must be called without the state lock.
func (p *Persister) BatchCommitted(batch *cluster.WriteBatch, version uint64) {
	p.State.Lock()
	defer p.State.Unlock()
	for id, record := range p.State.BatchCommitted(batch, version) {
		p.Terminals.Remember(id, storage.StoredTerminalRecord{TerminalRecord: record, Version: version})
		p.Log.Info("job finished", "job", id, "stage", record.Stage, "done", record.Done)
	}
	p.CycleSignal.Raise()
}

// resolveConflict handles a version conflict of a batch. outcomeUnknown is set if an earlier request
// with the same batch got no usable response: that request may have been committed, and so have
// caused the conflict. It reports whether the batch is finished; if not, it must be sent again.
func (p *Persister) resolveConflict(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError, outcomeUnknown bool) bool {
	if outcomeUnknown && batch.ProbeKey() != "" {
		version, committed, err := p.probeOutcome(ctx, batch)
		if err != nil {
			return false
		}
		if committed {
			p.BatchCommitted(batch, version)
			return true
		}
	}
	p.batchConflicted(ctx, batch, conflict)
	return true
}

// probeOutcome reads a record that the batch writes. It reports whether the batch was committed,
// and the version of the record.
func (p *Persister) probeOutcome(ctx context.Context, batch *cluster.WriteBatch) (version uint64, committed bool, err error) {
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

// conflictCauses are the causes of the version conflict of a batch that was not committed.
type conflictCauses struct {
	planReplaced bool // the admission plan by which new jobs were admitted is no longer current
	// finishedJobs are terminal records by job ID: a new job of the batch has the ID of such a
	// finished job.
	finishedJobs map[string]storage.StoredTerminalRecord
}

// batchConflicted handles the version conflict of a batch that was not committed. There are three
// causes: a new job has the ID of a finished job; the admission plan by which a new job was admitted
// has been replaced; or another leader has claimed the buckets, and this one steps down.
func (p *Persister) batchConflicted(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError) {
	causes, ok := p.findCauses(ctx, batch, conflict)
	if !ok {
		return
	}
	p.State.Lock()
	p.State.BatchConflicted(batch, p.Clock.Steady())
	if causes.planReplaced {
		p.Admission.Reconsider()
	}
	p.State.Unlock()
	if causes.planReplaced {
		p.Admission.RereadPlan(ctx)
	}
	p.State.Lock()
	defer p.State.Unlock()
	for id, record := range causes.finishedJobs {
		p.Terminals.Remember(id, record)
		p.State.DropUnaccepted(id)
		p.Ingester.resyncNeeded.Store(true) // the job may be in the pending-submission queue
	}
}

// findCauses returns the causes of a version conflict, and reports false if the leader stepped down
// or ctx ended.
func (p *Persister) findCauses(ctx context.Context, batch *cluster.WriteBatch, conflict *kv.VersionConflictError) (conflictCauses, bool) {
	causes := conflictCauses{finishedJobs: map[string]storage.StoredTerminalRecord{}}
	for _, key := range conflict.Keys {
		if key == admission.KeyPlan {
			causes.planReplaced = true
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
		if !p.readTerminalWithRetries(ctx, id, causes.finishedJobs) {
			return conflictCauses{}, false
		}
	}
	return causes, true
}

// readTerminalWithRetries adds the terminal record of a job to found, if there is one. It retries
// failed reads, and reports whether a read succeeded before ctx ended.
func (p *Persister) readTerminalWithRetries(ctx context.Context, id string, found map[string]storage.StoredTerminalRecord) bool {
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

// batchRejected handles a batch that the key-value store rejected as invalid because it exceeds the
// store's limits, which have been lowered since. Each job is then written in a batch of its own,
// unless outcomeUnknown is set: an earlier request with the same batch got no usable response, so it
// may have been committed or may still be.
func (p *Persister) batchRejected(ctx context.Context, batch *cluster.WriteBatch, outcomeUnknown bool) {
	if outcomeUnknown {
		p.resolveRejected(ctx, batch)
		return
	}
	p.State.Lock()
	limitsLowered := p.State.ApplyNextLimits()
	p.State.Unlock()
	p.KV.ApplyNextLimits()
	p.Log.Error("write batch rejected; rebuilding it", "jobs", batch.JobIDs(), "changes", len(batch.Txn.Then), "limits_lowered", limitsLowered)
	if !limitsLowered && !loop.Sleep(ctx, RejectedRetryDelay) {
		return
	}
	p.State.Lock()
	defer p.State.Unlock()
	p.State.BatchRejected(batch, p.Clock.Steady())
}

// resolveRejected determines whether a batch that was rejected had been committed by an earlier
// request. If not, that request may still be committed later. Only the bucket claim of the next
// leader excludes this, so this leader steps down.
func (p *Persister) resolveRejected(ctx context.Context, batch *cluster.WriteBatch) {
	for {
		version, ours, err := p.probeOutcome(ctx, batch)
		switch {
		case err == nil && ours:
			p.BatchCommitted(batch, version)
			return
		case err == nil:
			p.Log.Info("write batch rejected after a request without a response; stepping down", "jobs", batch.JobIDs())
			p.Leadership.StepDown()
			return
		}
		if !loop.Sleep(ctx, RejectedRetryDelay) {
			return
		}
	}
}
