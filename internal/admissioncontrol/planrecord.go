package admissioncontrol

import (
	"context"
	"errors"

	"dunestand/internal/admission"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

const (
	// planFenceBucket is the bucket whose head fences the plans of former leaders.
	planFenceBucket = 0
	// recordRereadDelay is until the plan's record is read again after a failure.
	recordRereadDelay = 200 * units.Millisecond
)

// rereadRecord finds out what the record holds after a write met another version of it.
func (p *planPublisher) rereadRecord(ctx context.Context) {
	if p.recordLock.lock(ctx) != nil {
		return
	}
	defer p.recordLock.unlock()
	p.recordKnown = false
	for p.readRecord(ctx) != nil && loop.Sleep(ctx, recordRereadDelay) {
		continue
	}
}

// readRecord finds out what the record holds now. It needs recordLock held, as what follows
// does.
func (p *planPublisher) readRecord(ctx context.Context) error {
	sentAt := p.Clock.Steady()
	item, revision, err := p.KV.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
	if err != nil {
		return err
	}
	p.adoptRecord(item, revision, sentAt)
	if p.Admitter.unreadableRevision.Load() == 0 {
		if err := p.resumeFrom(item); err != nil {
			return err
		}
	}
	if err := p.ingestPending(ctx); err != nil {
		return err
	}
	p.recordKnown = true
	p.revision = item.Version
	p.admission.setPlanRevision(p.revision)
	return nil
}

// adoptRecord passes what was read, by a request sent at sentAt, on to the admitter.
func (p *planPublisher) adoptRecord(item protocol.Item, revision uint64, sentAt units.Micros) {
	if item.Version == 0 {
		p.Admitter.planStore.Clear(revision)
		p.Admitter.unreadableRevision.Store(0)
		return
	}
	after := sentAt - admission.PlanLifetime // it may be of any age
	if p.lastSentAt != 0 && item.Version > p.revision {
		after = p.lastSentAt // it is the one whose response was lost
	}
	p.Admitter.adopt(item, after, p.Clock.Steady())
}

// resumeFrom continues from the plan in a record, or from none.
func (p *planPublisher) resumeFrom(item protocol.Item) error {
	var former *admission.Plan
	if item.Version != 0 {
		plan, err := admission.Decode(item.Value)
		if err != nil {
			return err
		}
		former = plan
		p.lastVersion = plan.Version
	}
	if p.planner == nil {
		p.planner = admission.NewPlanner(p.Admitter.options, p.Admitter.teams, former, p.Clock.Steady())
	}
	return nil
}

// ingestPending ingests what was accepted under the plan before: once a new one is durable,
// nothing more can be accepted under that. So a job that is not known after it, and has to wait by
// the new plan, stays unknown while the new plan is in force.
func (p *planPublisher) ingestPending(ctx context.Context) error {
	items, _, err := p.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return err
	}
	return p.Ingester.Ingest(ctx, items)
}

// writePlan makes a plan durable, on condition that the record is as this leader knows it and
// that no later leader has claimed the buckets. From before the plan is sent until its outcome is
// known, nobody is told to wait by the plan before.
func (p *planPublisher) writePlan(ctx context.Context, raw []byte, plan *admission.Plan) error {
	p.admission.markPlanUncertain()
	sentAt := p.Clock.Steady()
	pacing := kv.Paced
	if p.lastSentAt == 0 {
		pacing = kv.Urgent
	}
	p.lastSentAt = sentAt
	revision, err := p.KV.CompareAndSwap(ctx, p.planTxn(raw), pacing, kv.CallTimeout)
	switch {
	case errors.Is(err, kv.ErrRefused):
		p.admission.setPlanRevision(p.revision)
		return err
	case err != nil:
		p.recordKnown = false
		return err
	}
	return p.planWritten(ctx, admission.ObservedPlan{Plan: plan, Revision: revision, WrittenAfter: sentAt})
}

// planTxn returns the transaction that writes an encoded plan.
func (p *planPublisher) planTxn(raw []byte) protocol.Txn {
	return protocol.Txn{
		If: []protocol.Condition{
			{Key: admission.KeyPlan, Version: p.revision},
			{Key: storage.KeyBucketHead(planFenceBucket), Version: p.Persister.BucketVersion(planFenceBucket)},
		},
		Then: []protocol.Change{{Set: admission.KeyPlan, Value: raw}},
	}
}

// planWritten brings a plan into force that is durable.
func (p *planPublisher) planWritten(ctx context.Context, written admission.ObservedPlan) error {
	plan := written.Plan
	if !plan.SameRestrictions(p.lastPlan) {
		p.Admitter.log.Info("admission plan written", "version", plan.Version, "restricted_cells", plan.NumRestrictedFlows(),
			"queue_heads", plan.NumQueueHeads(), "waiting", p.admission.WaitingCount())
	}
	p.lastPlan, p.lastVersion = plan, plan.Version
	if err := p.ingestPending(ctx); err != nil {
		p.recordKnown = false // it is read again, with the pending submissions
		p.revision = written.Revision
		return err
	}
	written.WrittenBefore = p.Clock.Steady()
	if err := p.Admitter.planStore.Update(written); err != nil {
		return err
	}
	p.revision = written.Revision
	p.admission.setPlanRevision(written.Revision)
	return nil
}
