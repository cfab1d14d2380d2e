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
	maxWritesInFlight       = 3                       // batches on their way at a time
	coalesceBackground      = units.Second            // changes nobody waits for are gathered so long
	coalesceUrgent          = 2 * units.Millisecond   // submissions that come together are written together
	backgroundWriteInterval = 200 * units.Millisecond // for the changes nobody waits for
	// minChangesPerBatch is for how many changes the write budget must have room before a
	// batch is built. Fewer would be many small transactions; more would let what comes
	// meanwhile wait longer.
	minChangesPerBatch = 4
	// writeBudgetRetry is until the write budget is looked at again.
	writeBudgetRetry = 50 * units.Millisecond
)

// Run writes changed records until ctx ends, and then waits for the batches on their way.
func (p *Persister) Run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
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
		tick = p.startBatches(ctx, &inFlight)
	}
}

// startBatches builds and sends batches while there is something to write and room for it. It
// returns the time until the next look.
func (p *Persister) startBatches(ctx context.Context, inFlight *sync.WaitGroup) units.Micros {
	for {
		if p.KV.WritesAvailable() < p.batchThreshold() {
			return writeBudgetRetry
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

// batchThreshold returns for how many changes the write budget must have room before a batch is
// built.
func (p *Persister) batchThreshold() int {
	return min(minChangesPerBatch, p.Settings.Fleet.KVLimits.Lowest().TxnOps)
}

// nextBatch builds the next batch if one may be sent now, and reserves its writes; nil if not,
// or if there is nothing to write. A batch is built only once the write budget has room for it:
// what waits for the budget can still be overtaken by what a user waits for, what is built can
// not.
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
