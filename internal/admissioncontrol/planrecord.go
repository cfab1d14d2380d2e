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
	// planFenceBucket is the bucket whose head fences off plans of former leaders.
	planFenceBucket = 0
	// recordRereadDelay is the delay between two attempts to read the plan's record.
	recordRereadDelay = 200 * units.Millisecond
)

// rereadRecord reads the record after a version conflict. It retries until it succeeds or ctx
// ends.
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

// readRecord reads the record and continues from it. The caller must hold recordLock, as for all
// methods below.
func (p *planPublisher) readRecord(ctx context.Context) error {
	sentAt := p.Clock.Steady()
	item, revision, err := p.KV.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
	if err != nil {
		return err
	}
	p.applyRecord(item, revision, sentAt)
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

// applyRecord passes the record, read by a request sent at sentAt, to the admitter.
func (p *planPublisher) applyRecord(item protocol.Item, revision uint64, sentAt units.Micros) {
	if item.Version == 0 {
		p.Admitter.planStore.Clear(revision)
		p.Admitter.unreadableRevision.Store(0)
		return
	}
	after := sentAt - admission.PlanLifetime // the plan may be of any age
	if p.lastSentAt != 0 && item.Version > p.revision {
		after = p.lastSentAt // the plan whose response was lost
	}
	p.Admitter.applyItem(item, after, p.Clock.Steady())
}

// resumeFrom continues from the plan in an item, or without a former plan if there is no item.
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

// ingestPending ingests the pending submissions. Once a new plan is durable, no job can be accepted
// under the former one any more. So a job that is still unknown after ingestPending, and has to
// wait under the new plan, stays unknown while the new plan is in force.
func (p *planPublisher) ingestPending(ctx context.Context) error {
	items, _, err := p.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return err
	}
	return p.Ingester.Ingest(ctx, items)
}

// writePlan writes a plan, on condition that the record is at the known revision and that no later
// leader has claimed the buckets. The plan in force is marked uncertain before the request and until
// its outcome is known, so that no job gets the verdict Wait under a plan that may have been
// replaced.
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

// planTxn returns the compare-and-swap transaction that writes an encoded plan.
func (p *planPublisher) planTxn(raw []byte) protocol.Txn {
	return protocol.Txn{
		If: []protocol.Condition{
			{Key: admission.KeyPlan, Version: p.revision},
			{Key: storage.KeyBucketHead(planFenceBucket), Version: p.Persister.BucketVersion(planFenceBucket)},
		},
		Then: []protocol.Change{{Set: admission.KeyPlan, Value: raw}},
	}
}

// planWritten puts a durable plan into force, after it has ingested the pending submissions.
func (p *planPublisher) planWritten(ctx context.Context, written admission.ObservedPlan) error {
	plan := written.Plan
	if !plan.SameRestrictions(p.lastPlan) {
		p.Admitter.log.Info("admission plan written", "version", plan.Version, "restricted_cells", plan.NumRestrictedFlows(),
			"queue_heads", plan.NumQueueHeads(), "waiting", p.admission.WaitingCount())
	}
	p.lastPlan, p.lastVersion = plan, plan.Version
	if err := p.ingestPending(ctx); err != nil {
		p.recordKnown = false // the next step reads the record and the pending submissions again
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
