package persister

import (
	"context"
	"sync"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/loop"
	"dunestand/internal/units"
)

const (
	maxWritesInFlight       = 3                       // batches in flight
	coalesceBackground      = units.Second            // delay of background changes, to coalesce them
	coalesceUrgent          = 2 * units.Millisecond   // delay of urgent changes, to coalesce simultaneous submissions
	backgroundWriteInterval = 200 * units.Millisecond // between checks for background changes
	// minChangesPerBatch is the number of changes that the write budget must allow before a
	// batch is built. A lower value causes many small transactions; a higher one delays changes
	// that become due meanwhile.
	minChangesPerBatch = 4
	// writeBudgetPollInterval is the interval between checks of an exhausted write budget.
	writeBudgetPollInterval = 50 * units.Millisecond
)

// Run writes changed records until ctx ends. It returns when no batch is in flight any more.
func (p *Persister) Run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	wait := backgroundWriteInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.WriteSignal:
			if !loop.Sleep(ctx, coalesceUrgent) {
				return
			}
		case <-time.After(wait.Duration()):
		}
		wait = p.startBatches(ctx, &inFlight)
	}
}

// startBatches builds and sends batches while changes are due and the limits allow it. It returns
// the time to wait before the next call.
func (p *Persister) startBatches(ctx context.Context, inFlight *sync.WaitGroup) units.Micros {
	for {
		if p.KV.WritesAvailable() < p.batchThreshold() {
			return writeBudgetPollInterval
		}
		batch := p.nextBatch()
		if batch == nil {
			return backgroundWriteInterval
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			p.CommitBatch(ctx, batch)
			p.State.Lock()
			p.writesInFlight--
			p.State.Unlock()
			p.WriteSignal.Raise()
		}()
	}
}

// batchThreshold returns the number of changes that the write budget must allow before a batch is
// built: minChangesPerBatch, or the limit of a transaction if that is lower.
func (p *Persister) batchThreshold() int {
	return min(minChangesPerBatch, p.Settings.Fleet.KVLimits.Lowest().TxnOps)
}

// nextBatch builds the next batch and reserves its writes. It returns nil if no change is due or too
// many batches are in flight. The caller must first check that the write budget allows a batch:
// urgent changes can overtake changes that are not yet in a batch, but not a batch already built.
func (p *Persister) nextBatch() *cluster.WriteBatch {
	p.State.Lock()
	defer p.State.Unlock()
	if p.writesInFlight >= maxWritesInFlight {
		return nil
	}
	now := p.Clock.Steady()
	p.State.UpgradeFormat(p.Format.Current(), now)
	batch := p.State.BuildWriteBatch(p.NextWriteID(), p.bucketVersions, cluster.BatchLimits{
		CoalesceFor: coalesceBackground,
		Background:  p.KV.HasWriteBudget(),
		MaxChanges:  max(p.batchThreshold(), p.KV.WritesAvailable()),
	}, now)
	if batch == nil {
		return nil
	}
	p.writesInFlight++
	p.KV.ReserveWrites(len(batch.Txn.Then))
	return batch
}
