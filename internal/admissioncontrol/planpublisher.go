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

// ErrPlanUnreadable says that the plan's record is not readable by this version. No plan is
// written over it; an operator may repair or delete the record.
var ErrPlanUnreadable = errors.New("the plan's record is not readable")

// The pace of plans. Used-up quotas are renewed sooner; a plan that says nothing new is not
// written again before it is about to expire.
const (
	planCheckInterval     = 250 * units.Millisecond
	minPlanInterval       = 500 * units.Millisecond // between two plans
	minUrgentPlanInterval = 120 * units.Millisecond // likewise, when a quota is used up
	renewalsPerLifetime   = 3                       // of an unchanged plan, in its lifetime
	// Further plans are few, so that they take little of the write budget.
	plansPerSecond = 2
	planBurst      = 4
)

// planPublisher makes and writes the admission plan while its controller leads.
type planPublisher struct {
	LeaderAdmissionDeps
	admission *LeaderAdmission

	// recordLock is held while the record is read or written, across requests to the
	// key-value store. What follows is for its holder alone.
	recordLock      contextMutex
	planner         *admission.Planner // nil until the record was read
	revision        uint64             // of the record, as this leader knows it
	recordKnown     bool               // revision is certain
	lastVersion     uint64             // of the last plan
	lastPlan        *admission.Plan    // the last that this leader wrote
	lastSentAt      units.Micros       // of the last that this leader sent; 0: none yet
	lastWriteFailed bool               // the last was not written, or its outcome is not known
	loggedTooLarge  bool               // the last did not fit, and that was logged
	// limiter bounds the plans that say something new; renewals are not held up by it.
	limiter *rate.Limiter

	usages atomic.Pointer[[]admission.Usage] // of the teams, by the last proposal
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

// step makes a plan, and writes it if it is due. urgent says that a quota is used up.
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

// publish encodes and writes a plan.
func (p *planPublisher) publish(ctx context.Context, plan *admission.Plan) error {
	raw, encoded, err := admission.Encode(plan, p.Settings.Fleet.State.Lowest().ValueBytes())
	if err != nil {
		if !p.loggedTooLarge {
			p.Admitter.log.Error("admission plan not written; jobs are admitted by the built-in fallback", "error", err)
		}
		p.loggedTooLarge = true
		return err
	}
	p.loggedTooLarge = false
	err = p.writePlan(ctx, raw, encoded)
	p.lastWriteFailed = err != nil
	return err
}

// minIntervalFor returns the least time between two plans.
func minIntervalFor(urgent bool) units.Micros {
	if urgent {
		return minUrgentPlanInterval
	}
	return minPlanInterval
}

// due reports whether a plan is to be written now.
func (p *planPublisher) due(plan *admission.Plan, now units.Micros, urgent bool) bool {
	if p.lastSentAt == 0 || now-p.lastSentAt >= admission.PlanLifetime/renewalsPerLifetime {
		return true
	}
	if !urgent && !p.lastWriteFailed && plan.SameRestrictions(p.lastPlan) {
		return false
	}
	return p.KV.HasWriteBudget() && p.limiter.Allow()
}
