package admissioncontrol

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/admission"
	"dunestand/internal/units"
)

// ErrPlanUnreadable reports that this version cannot decode the plan's record. The record is not
// overwritten; an operator may repair or delete it.
var ErrPlanUnreadable = errors.New("admission plan record is not readable")

// Intervals and rates of plans. Unless a version quota is used up or the last write failed, a plan
// with unchanged restrictions is written only to renew its lifetime.
const (
	planCheckInterval     = 250 * units.Millisecond
	minPlanInterval       = 500 * units.Millisecond // between two plans
	minUrgentPlanInterval = 120 * units.Millisecond // between two plans, if a quota is used up
	renewalsPerLifetime   = 3                       // renewals of an unchanged plan in its lifetime
	// Plans other than renewals are limited, so that they take little of the write budget.
	plansPerSecond = 2
	planBurst      = 4
)

// planPublisher makes and writes the admission plan while its controller leads.
type planPublisher struct {
	LeaderAdmissionDeps
	admission *LeaderAdmission

	// recordLock is held while the record is read or written, across requests to the
	// key-value store. It guards the fields up to limiter.
	recordLock      contextMutex
	planner         *admission.Planner // nil until the record was read
	revision        uint64             // last known revision of the record
	recordKnown     bool               // the record is certainly at revision
	lastVersion     uint64             // version of the last plan that was read or written
	lastPlan        *admission.Plan    // last plan that this leader wrote
	lastSentAt      units.Micros       // time at which this leader last sent a plan; 0: never
	lastWriteFailed bool               // the last plan was not written, or the outcome is unknown
	loggedTooLarge  bool               // the last plan was too large, and that was logged
	// limiter limits the rate of plans other than renewals.
	limiter *rate.Limiter

	usages atomic.Pointer[[]admission.Usage] // usage of the teams at the last proposal
}

func newPlanPublisher(deps LeaderAdmissionDeps, la *LeaderAdmission) *planPublisher {
	return &planPublisher{
		LeaderAdmissionDeps: deps,
		admission:           la,
		recordLock:          newContextMutex(),
		limiter:             rate.NewLimiter(plansPerSecond, planBurst),
	}
}

// run publishes plans until ctx ends.
func (p *planPublisher) run(ctx context.Context) {
	if p.Admitter == nil {
		return
	}
	tick := time.NewTicker(planCheckInterval.Duration())
	defer tick.Stop()
	for urgent := true; ; {
		if p.Admitter.active() && p.Leadership.Valid() {
			if err := p.step(ctx, urgent); err != nil {
				p.Admitter.log.Debug("admission plan not written", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			urgent = false
		case <-p.Admitter.replanSignal:
			urgent = true
		}
	}
}

// step makes a plan and writes it if it is due. An urgent plan is due sooner, and also with
// unchanged restrictions, because a version quota may be used up.
func (p *planPublisher) step(ctx context.Context, urgent bool) error {
	if err := p.recordLock.lock(ctx); err != nil {
		return err
	}
	defer p.recordLock.unlock()
	if !p.recordKnown {
		if err := p.readRecord(ctx); err != nil {
			return err
		}
	}
	if p.Admitter.unreadableRevision.Load() != 0 {
		p.recordKnown = false // an operator may repair or delete the record
		return ErrPlanUnreadable
	}
	now := p.Clock.Steady()
	if p.lastSentAt != 0 && now-p.lastSentAt < minIntervalFor(urgent) {
		return nil
	}
	proposal := p.planner.Next(p.lastVersion+1, p.Leadership.Token(), p.admission.measure(now))
	p.usages.Store(&proposal.Usages)
	if !p.due(proposal.Plan, now, urgent) {
		return nil
	}
	if err := p.publish(ctx, proposal.Plan); err != nil {
		return err
	}
	p.planner.Accept(proposal)
	return nil
}

// publish encodes and writes a plan. A plan that is too large is logged once.
func (p *planPublisher) publish(ctx context.Context, plan *admission.Plan) error {
	raw, encoded, err := admission.Encode(plan, p.Settings.Fleet.KVLimits.Lowest().ValueBytes())
	if err != nil {
		if !p.loggedTooLarge {
			p.Admitter.log.Error("admission plan not written; the fallback plan is in force once the last plan expires", "error", err)
		}
		p.loggedTooLarge = true
		return err
	}
	p.loggedTooLarge = false
	err = p.writePlan(ctx, raw, encoded)
	p.lastWriteFailed = err != nil
	return err
}

// minIntervalFor returns the minimum interval between two plans.
func minIntervalFor(urgent bool) units.Micros {
	if urgent {
		return minUrgentPlanInterval
	}
	return minPlanInterval
}

// due reports whether a plan is to be written now. A plan is always due if no plan was sent within
// the renewal interval. Before that, a plan that is urgent, has changed restrictions or follows a
// failed write is due within the write budget and the rate limit.
func (p *planPublisher) due(plan *admission.Plan, now units.Micros, urgent bool) bool {
	if p.lastSentAt == 0 || now-p.lastSentAt >= admission.PlanLifetime/renewalsPerLifetime {
		return true
	}
	if !urgent && !p.lastWriteFailed && plan.SameRestrictions(p.lastPlan) {
		return false
	}
	return p.KV.HasWriteBudget() && p.limiter.Allow()
}
