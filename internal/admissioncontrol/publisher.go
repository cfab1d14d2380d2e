package admissioncontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/admission"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// planPublisher makes and writes the admission plan while its node leads.
type planPublisher struct {
	LeaderAdmissionDeps
	admission *LeaderAdmission

	// recordLock holds a token while the record is read or written. What follows is for its
	// holder alone.
	recordLock  chan struct{}
	planner     *admission.Planner
	revision    uint64 // of the record, as this leader knows it
	recordKnown bool   // it does
	version     uint64 // of the last plan
	written     *admission.Plan
	sentAt      units.Micros // of the last one that this leader wrote; 0: none yet
	failed      bool         // it is not known whether that one was written, or it was not
	tooLarge    bool         // the last plan did not fit, and that was logged
	limiter     *rate.Limiter

	standings atomic.Pointer[[]admission.Usage] // of the teams, by the last proposal
}

func newPlanPublisher(deps LeaderAdmissionDeps, la *LeaderAdmission) *planPublisher {
	return &planPublisher{
		LeaderAdmissionDeps: deps,
		admission:           la,
		recordLock:          make(chan struct{}, 1),
		limiter:             rate.NewLimiter(plansPerSecond, planBurst),
	}
}

// The pace of plans. Exhausted quotas are renewed sooner, what is a matter of course is
// not written again before it is about to lapse.
const (
	recordRetryDelay      = 200 * units.Millisecond // until the plan's record is read again
	planInterval          = 250 * units.Millisecond
	minPlanInterval       = 500 * units.Millisecond // between two plans
	minUrgentPlanInterval = 120 * units.Millisecond // likewise, when a quota is used up
	renewalsPerLifetime   = 3                       // of an unchanged plan, in its lifetime
	// Further plans are few, so that they take little of the writes.
	plansPerSecond = 2
	planBurst      = 4
)

// writeStandings writes how the teams stand, for the metrics of the leader.
func (p *planPublisher) writeStandings(w io.Writer) {
	standings := p.standings.Load()
	if standings == nil {
		return
	}
	for _, s := range *standings {
		restricted := 0
		if s.Restricted {
			restricted = 1
		}
		labels := fmt.Sprintf("{team=%q,pool=%q}", s.Team, s.Pool.String())
		fmt.Fprintf(w, "dunestand_admission_share_unit_seconds%s %g\n", labels, s.Share.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_guaranteed_unit_seconds%s %g\n", labels, s.Guaranteed.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_backlog_unit_seconds%s %g\n", labels, s.Backlog.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_waiting_unit_seconds%s %g\n", labels, s.Waiting.UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_excess_unit_seconds%s %g\n", labels, s.Excess().UnitSeconds())
		fmt.Fprintf(w, "dunestand_admission_restricted%s %d\n", labels, restricted)
	}
}

// acquire waits for the token.
func (p *planPublisher) acquire(ctx context.Context) error {
	select {
	case p.recordLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *planPublisher) release() { <-p.recordLock }

// loop publishes plans until ctx ends.
func (p *planPublisher) loop(ctx context.Context) {
	if p.Admitter == nil {
		return
	}
	tick := time.NewTicker(planInterval.Duration())
	defer tick.Stop()
	for asked := true; ; {
		if p.Admitter.active() && p.Leadership.Valid() {
			if err := p.step(ctx, asked); err != nil {
				p.Admitter.log.Debug("the admission plan is not written", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			asked = false
		case <-p.Admitter.replanSignal:
			asked = true
		}
	}
}

// Step makes a plan, and writes it if it is due.
func (p *planPublisher) step(ctx context.Context, asked bool) error {
	if err := p.acquire(ctx); err != nil {
		return err
	}
	defer p.release()
	if !p.recordKnown {
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	if p.Admitter.unreadable.Load() != 0 {
		p.recordKnown = false // an operator may repair or delete the record
		return ErrPlanUnreadable
	}
	now := p.Clock.Steady()
	if p.sentAt != 0 && now-p.sentAt < planPause(asked) {
		return nil
	}
	proposal := p.planner.Next(p.version+1, p.Leadership.Token(), p.admission.measure(now))
	p.standings.Store(&proposal.Usages)
	if !p.due(proposal.Plan, now, asked) {
		return nil
	}
	raw, held, err := admission.Encode(proposal.Plan, p.Settings.Fleet.State.Both().ValueBytes())
	if err != nil {
		if !p.tooLarge {
			p.Admitter.log.Error("the admission plan is not written; jobs are admitted by the built-in floor", "error", err)
		}
		p.tooLarge = true
		return err
	}
	p.tooLarge = false
	if err := p.write(ctx, raw, held); err != nil {
		p.failed = true
		return err
	}
	p.failed = false
	p.planner.Accept(proposal)
	return nil
}

var ErrPlanUnreadable = errors.New("the plan's record is not readable")

// planPause is the time between two plans.
func planPause(asked bool) units.Micros {
	if asked {
		return minUrgentPlanInterval
	}
	return minPlanInterval
}

// due tells whether a plan is to be written now.
func (p *planPublisher) due(plan *admission.Plan, now units.Micros, asked bool) bool {
	if p.sentAt == 0 || now-p.sentAt >= admission.PlanLifetime/renewalsPerLifetime {
		return true
	}
	if !asked && !p.failed && plan.SameRestrictions(p.written) {
		return false
	}
	return p.KV.HasWriteBudget() && p.limiter.Allow()
}

// read finds out what the record holds now.
func (p *planPublisher) read(ctx context.Context) error {
	asked := p.Clock.Steady()
	item, revision, err := p.KV.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
	if err != nil {
		return err
	}
	if item.Version == 0 {
		p.Admitter.keeper.Clear(revision)
		p.Admitter.unreadable.Store(0)
	} else {
		after := asked - admission.PlanLifetime // it may be of any age
		if p.sentAt != 0 && item.Version > p.revision {
			after = p.sentAt // it is the one whose answer was lost
		}
		p.Admitter.adopt(item, after, p.Clock.Steady())
	}
	if p.Admitter.unreadable.Load() == 0 {
		if err := p.continueFrom(item); err != nil {
			return err
		}
	}
	if err := p.ingestPending(ctx); err != nil {
		return err
	}
	p.recordKnown = true
	p.revision = item.Version
	p.admission.planChanged(p.revision)
	return nil
}

// continueFrom goes on from the plan in a record.
func (p *planPublisher) continueFrom(item protocol.Item) error {
	var former *admission.Plan
	if item.Version != 0 {
		plan, err := admission.Decode(item.Value)
		if err != nil {
			return err
		}
		former = plan
		p.version = plan.Version
	}
	if p.planner == nil {
		p.planner = admission.NewPlanner(p.Admitter.options, p.Admitter.teams, former, p.Clock.Steady())
	}
	return nil
}

// ingestPending takes in what was accepted under the plan before: once a new one is durable,
// nothing more can be accepted under that. So whoever is not known after it and has to
// wait by the new plan stays unknown while it is in force.
func (p *planPublisher) ingestPending(ctx context.Context) error {
	items, _, err := p.KV.ListAll(ctx, storage.PrefixPending)
	if err != nil {
		return err
	}
	return p.Ingester.Ingest(ctx, items)
}

// write makes a plan durable, on condition that the record is as this leader knows it and
// that no later leader has claimed the buckets. From before the plan is sent until it is
// known what became of it, nobody is told to wait by the plan before.
func (p *planPublisher) write(ctx context.Context, raw []byte, plan *admission.Plan) error {
	p.admission.planUncertain()
	head := storage.KeyBucketHead(planFenceBucket)
	sent := p.Clock.Steady()
	pacing := kv.Paced
	if p.sentAt == 0 {
		pacing = kv.Urgent
	}
	p.sentAt = sent
	revision, err := p.KV.CompareAndSwap(ctx, protocol.Txn{
		If: []protocol.Condition{
			{Key: admission.KeyPlan, Version: p.revision},
			{Key: head, Version: p.Persister.BucketVersion(planFenceBucket)},
		},
		Then: []protocol.Change{{Set: admission.KeyPlan, Value: raw}},
	}, pacing, kv.CallTimeout)
	switch {
	case errors.Is(err, kv.ErrRefused):
		p.admission.planChanged(p.revision)
		return err
	case err != nil:
		p.recordKnown = false
		return err
	}
	if !plan.SameRestrictions(p.written) {
		p.Admitter.log.Info("admission plan", "version", plan.Version, "restricted_cells", plan.NumRestrictedCells(),
			"turns", plan.NumQueueHeads(), "waiting", p.admission.WaitingCount())
	}
	p.written, p.version = plan, plan.Version
	if err := p.ingestPending(ctx); err != nil {
		p.recordKnown = false // it is read again, with the inbox
		p.revision = revision
		return err
	}
	if err := p.Admitter.keeper.Update(admission.ObservedPlan{
		Plan: plan, Revision: revision, WrittenAfter: sent, WrittenBefore: p.Clock.Steady(),
	}); err != nil {
		return err
	}
	p.revision = revision
	p.admission.planChanged(revision)
	return nil
}

// planFenceBucket is the bucket whose head fences the plans of former leaders.
const planFenceBucket = 0

// rereadRecord finds out about the record after a save met another version of it.
func (p *planPublisher) rereadRecord(ctx context.Context) {
	if p.acquire(ctx) != nil {
		return
	}
	defer p.release()
	p.recordKnown = false
	for p.read(ctx) != nil && loop.Sleep(ctx, recordRetryDelay) {
		continue
	}
}
